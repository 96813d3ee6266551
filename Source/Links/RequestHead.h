// Finds the end of an HTTP request's head while its bytes arrive, and the
// length of the body that it announces, so that a request beyond the limits is
// refused before it is read. The HTTP parser checks everything else.

#ifndef MIMOSASHUNT_LINKS_REQUESTHEAD_H
#define MIMOSASHUNT_LINKS_REQUESTHEAD_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mimosashunt {

class RequestHead {
public:
  /// Goes on with the bytes of one request, from its first byte on. Each call
  /// passes those of the call before and any that have arrived since.
  void scan(std::string_view Bytes);

  /// True once the empty line that ends the head was scanned.
  bool isComplete() const { return Complete; }
  /// Length of the complete head in bytes, with the empty line.
  size_t size() const { return LineStart; }
  /// Announced length of the body in bytes; 0 if none is announced. The largest
  /// number if it does not fit.
  uint64_t contentLength() const { return ContentLength; }

private:
  void scanLine(std::string_view Line);

  size_t LineStart = 0; // First byte after the last complete line.
  size_t Scanned = 0;   // Bytes that hold no further end of a line.
  bool HasRequestLine = false;
  bool Complete = false;
  uint64_t ContentLength = 0;
};

} // namespace mimosashunt

#endif
