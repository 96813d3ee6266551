// HTTP messages, as the HTTP server and client pass them to and from the
// daemons.

#ifndef MIMOSASHUNT_LINKS_HTTPTYPES_H
#define MIMOSASHUNT_LINKS_HTTPTYPES_H

#include <string>
#include <string_view>
#include <vector>

namespace mimosashunt {

struct HttpHeader {
  /// Lower case.
  std::string Name;
  std::string Value;
  bool operator==(const HttpHeader &) const = default;
};

/// Returns the value of the first header with the lower-case name \p Name, or
/// an empty string.
std::string headerValue(const std::vector<HttpHeader> &Headers,
                        std::string_view Name);

struct HttpRequest {
  std::string Method;
  /// Path without the query.
  std::string Path;
  std::string Query;
  std::vector<HttpHeader> Headers;
  std::string Body;
  /// Host that a received request names. Ignored by the HTTP client, which
  /// sends the address that it connects to.
  std::string Host{};
  bool operator==(const HttpRequest &) const = default;
};

struct HttpResponse {
  int Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;
  bool operator==(const HttpResponse &) const = default;
};

/// Returns a response with a JSON body; from status 400 on its content type is
/// application/problem+json.
HttpResponse jsonResponse(int Status, std::string Body);

} // namespace mimosashunt

#endif
