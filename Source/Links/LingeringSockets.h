// Sockets whose request was refused before it had arrived. Closing such a
// socket at once would reset the connection, and the client would lose the
// response. So what still arrives is discarded for a while.

#ifndef MIMOSASHUNT_LINKS_LINGERINGSOCKETS_H
#define MIMOSASHUNT_LINKS_LINGERINGSOCKETS_H

#include "Links/EventLoop.h"

#include <list>

namespace mimosashunt {

class LingeringSockets {
public:
  explicit LingeringSockets(EventLoop &Loop) : Loop(Loop) {}
  ~LingeringSockets();
  LingeringSockets(const LingeringSockets &) = delete;
  LingeringSockets &operator=(const LingeringSockets &) = delete;

  /// Ends the output of the connection of \p Descriptor and discards its input
  /// until the client closes it, for a limited time and number of bytes. Uses a
  /// descriptor of its own; without a free one it does nothing.
  void add(int Descriptor);

private:
  struct Entry {
    LingeringSockets *Owner;
    h2o_socket_t *Socket;
    size_t DiscardedBytes = 0;
    TimerId Timer = 0;
  };
  using EntryList = std::list<Entry>;

  static void onReadable(h2o_socket_t *Socket, const char *Error);
  void remove(Entry &Item);

  EventLoop &Loop;
  EntryList Entries; // The oldest first.
};

} // namespace mimosashunt

#endif
