#include "Links/LingeringSockets.h"

#include <cerrno>
#include <fcntl.h>
#include <sys/socket.h>

namespace mimosashunt {

namespace {

constexpr size_t MaxEntries = 16;
constexpr Duration LingerTime = seconds(1);
constexpr size_t MaxDiscardedBytes = 4 << 20;
constexpr size_t DiscardBytes = 256 << 10;

} // namespace

LingeringSockets::~LingeringSockets() {
  while (!Entries.empty())
    remove(Entries.front());
}

void LingeringSockets::add(int Descriptor) {
  int Copy = fcntl(Descriptor, F_DUPFD_CLOEXEC, 0);
  if (Copy < 0)
    return;
  shutdown(Copy, SHUT_WR);
  if (Entries.size() >= MaxEntries)
    remove(Entries.front());
  Entries.push_back(
      {this, h2o_evloop_socket_create(Loop.native(), Copy,
                                      H2O_SOCKET_FLAG_DONT_READ)});
  Entry &Added = Entries.back();
  Added.Socket->data = &Added;
  Added.Timer = Loop.timers().scheduleAt(Loop.timers().now() + LingerTime,
                                         [this, &Added] { remove(Added); });
  h2o_socket_read_start(Added.Socket, onReadable);
}

void LingeringSockets::onReadable(h2o_socket_t *Socket, const char *Error) {
  auto &Item = *static_cast<Entry *>(Socket->data);
  // Discards without a copy.
  ssize_t Count = recv(h2o_socket_get_fd(Socket), nullptr, DiscardBytes,
                       MSG_TRUNC | MSG_DONTWAIT);
  bool WouldBlock = Count < 0 && (errno == EAGAIN || errno == EINTR);
  if (Count > 0)
    Item.DiscardedBytes += static_cast<size_t>(Count);
  bool HasEnded = Error != nullptr || (Count <= 0 && !WouldBlock);
  if (HasEnded || Item.DiscardedBytes > MaxDiscardedBytes)
    Item.Owner->remove(Item);
}

void LingeringSockets::remove(Entry &Item) {
  Loop.timers().cancel(Item.Timer);
  h2o_socket_close(Item.Socket);
  Entries.remove_if([&](const Entry &Other) { return &Other == &Item; });
}

} // namespace mimosashunt
