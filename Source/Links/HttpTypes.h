// Values that the HTTP server and client exchange with the daemons.

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

/// Value of the first header called \p Name (lower case), or empty.
std::string headerValue(const std::vector<HttpHeader> &Headers,
                        std::string_view Name);

struct HttpRequest {
  std::string Method;
  /// Path without the query.
  std::string Path;
  std::string Query;
  std::vector<HttpHeader> Headers;
  std::string Body;
  /// Whom the caller addressed, of a request that came in; the client names the
  /// address that it sends to.
  std::string Host{};
  bool operator==(const HttpRequest &) const = default;
};

struct HttpResponse {
  int Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;
  bool operator==(const HttpResponse &) const = default;
};

/// A response with a JSON body.
HttpResponse jsonResponse(int Status, std::string Body);

} // namespace mimosashunt

#endif
