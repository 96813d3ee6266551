// A TCP relay between two processes that simulates a silent link. On SIGUSR1 it
// keeps its connections open but discards their data, also that of connections
// accepted meanwhile. After SIGUSR2 it relays new connections again.

#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <gflags/gflags.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

DEFINE_int32(listen, 0, "port to listen on");
DEFINE_int32(target, 0, "port to relay to");

namespace {

std::atomic<bool> Silent{false};
/// Counts the changes between relaying and silence.
std::atomic<unsigned> Generation{0};

void onSignal(int Number) {
  Silent = Number == SIGUSR1;
  ++Generation;
}

sockaddr_in loopback(int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(static_cast<uint16_t>(Port));
  return Address;
}

/// Relays one connection until either side closes it. After a change of
/// Generation it stays silent for good, like a connection whose state a
/// middlebox has lost.
void relay(int From) {
  unsigned StartGeneration = Generation;
  int To = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Target = loopback(FLAGS_target);
  bool Connected = !Silent && connect(To, reinterpret_cast<sockaddr *>(&Target),
                                      sizeof(Target)) == 0;
  pollfd Sockets[] = {{From, POLLIN, 0}, {To, POLLIN, 0}};
  char Buffer[16384];
  bool Open = Connected || Silent;
  while (Open && poll(Sockets, Connected ? 2 : 1, 200) >= 0) {
    for (int I = 0; I < (Connected ? 2 : 1); ++I) {
      if (Sockets[I].revents == 0)
        continue;
      ssize_t Size = read(Sockets[I].fd, Buffer, sizeof(Buffer));
      if (Size <= 0) {
        Open = false;
        break;
      }
      bool Discard = !Connected || Generation != StartGeneration;
      if (!Discard &&
          write(Sockets[1 - I].fd, Buffer, static_cast<size_t>(Size)) != Size)
        Open = false;
    }
  }
  close(From);
  close(To);
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGUSR1, onSignal);
  std::signal(SIGUSR2, onSignal);
  int Listener = socket(AF_INET, SOCK_STREAM, 0);
  int Reuse = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &Reuse, sizeof(Reuse));
  sockaddr_in ListenAddress = loopback(FLAGS_listen);
  if (bind(Listener, reinterpret_cast<sockaddr *>(&ListenAddress),
           sizeof(ListenAddress)) != 0)
    return 1;
  listen(Listener, 64);
  while (true) {
    int Socket = accept(Listener, nullptr, nullptr);
    if (Socket >= 0)
      std::thread(relay, Socket).detach();
  }
}
