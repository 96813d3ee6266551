// A crowd of HTTP clients that do not behave: bodies that stop short of their
// end, heads without an end, answers that nobody reads, connections without a
// request. Runs until it is ended or its time is over. Prints "settled" once no
// connection makes progress any more, or at the latest after SettleTimeout.

#include "Links/SocketAddress.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <fstream>
#include <functional>
#include <gflags/gflags.h>
#include <iostream>
#include <iterator>
#include <map>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

DEFINE_string(address, "", "IP:port of the listener under test");
DEFINE_string(
    clients, "",
    "stalled, chunked, pieces, whole, file, steps, heads, chunk-heads, "
    "unread or idle");
DEFINE_int32(connections, 10, "connections held at a time");
DEFINE_string(method, "POST", "method of a request with a body");
DEFINE_string(path, "/", "path of a request");
DEFINE_string(host, "q.example", "host of a request");
DEFINE_int32(body_bytes, 1000, "announced length of a body");
DEFINE_string(body_file, "", "file that a whole body begins with");
DEFINE_int32(missing_bytes, 1, "bytes of the body that are never sent");
DEFINE_int32(seconds, 100, "ends by itself after this time");

using namespace mimosashunt;

namespace {

using Clock = std::chrono::steady_clock;
constexpr auto SettleTimeout = std::chrono::seconds(6);
constexpr auto QuietTime = std::chrono::milliseconds(700);
constexpr auto PieceInterval = std::chrono::milliseconds(60);
constexpr auto ReconnectInterval = std::chrono::milliseconds(100);
constexpr int PiecesPerBody = 32;
constexpr size_t ReadBytes = 65536;

/// What one client does with its connection.
struct Behaviour {
  std::string Start;     // Sent first.
  std::string Repeat;    // Sent again and again after it, if not empty.
  size_t PieceBytes = 0; // Sent at a time, PieceInterval apart, if not 0.
  bool ReadsAnswers = true;
};

std::string requestHead(const std::string &Framing) {
  return FLAGS_method + " " + FLAGS_path + " HTTP/1.1\r\nhost: " + FLAGS_host +
         "\r\n" + Framing + "\r\n\r\n";
}

std::string bodyBytes(int Missing) {
  return std::string(
      static_cast<size_t>(std::max(0, FLAGS_body_bytes - Missing)), ' ');
}

std::string announcedHead() {
  return requestHead("content-length: " + std::to_string(FLAGS_body_bytes));
}

std::string chunkStart() {
  char Size[32];
  snprintf(Size, sizeof(Size), "%x\r\n",
           static_cast<unsigned>(FLAGS_body_bytes));
  return Size;
}

Behaviour stalledBody() {
  return {announcedHead() + bodyBytes(FLAGS_missing_bytes), "", 0, true};
}

Behaviour stalledChunk() {
  return {requestHead("transfer-encoding: chunked") + chunkStart() +
              bodyBytes(FLAGS_missing_bytes),
          "", 0, true};
}

Behaviour bodyInPieces() {
  Behaviour Result = stalledBody();
  Result.PieceBytes = Result.Start.size() / PiecesPerBody + 1;
  return Result;
}

Behaviour endlessHead() {
  return {FLAGS_method + " " + FLAGS_path + " HTTP/1.1\r\nhost: " + FLAGS_host +
              "\r\nx-long: ",
          std::string(4096, 'x'), 0, true};
}

Behaviour endlessChunkHeads() {
  return {requestHead("transfer-encoding: chunked"),
          "1;" + std::string(4096, 'x') + "\r\nx\r\n", 0, true};
}

/// The file of --body_file, with blanks up to the length of a body.
Behaviour paddedFile() {
  std::ifstream In(FLAGS_body_file);
  std::string Body(std::istreambuf_iterator<char>(In), {});
  Body.resize(static_cast<size_t>(FLAGS_body_bytes), ' ');
  return {announcedHead() + Body, "", 0, true};
}

/// A whole job of as many steps as the body has room for.
Behaviour jobOfManySteps() {
  const std::string Step = "{\"count\":1}";
  std::string Body = "{\"spec\":\"x\",\"steps\":[" + Step;
  while (Body.size() + Step.size() + 3 <= static_cast<size_t>(FLAGS_body_bytes))
    Body += "," + Step;
  Body += "]}";
  return {requestHead("content-length: " + std::to_string(Body.size())) + Body,
          "", 0, true};
}

Behaviour unreadAnswers() {
  return {"",
          "GET " + FLAGS_path + " HTTP/1.1\r\nhost: " + FLAGS_host + "\r\n\r\n",
          0, false};
}

const std::map<std::string, std::function<Behaviour()>> BehavioursByName = {
    {"stalled", stalledBody},
    {"chunked", stalledChunk},
    {"pieces", bodyInPieces},
    {"whole",
     [] {
       return Behaviour{announcedHead() + bodyBytes(0), "", 0, true};
     }},
    {"steps", jobOfManySteps},
    {"file", paddedFile},
    {"heads", endlessHead},
    {"chunk-heads", endlessChunkHeads},
    {"unread", unreadAnswers},
    {"idle", [] { return Behaviour{}; }}};

/// One client. It connects again after the server has closed its connection.
class Client {
public:
  Client(const SocketAddress &Server, const Behaviour &Does)
      : Server(Server), Does(Does) {}

  int descriptor() const { return Socket; }
  bool isConnected() const { return Socket >= 0; }
  bool wantsToSend(Clock::time_point Now) const {
    return isConnected() && Now >= NextPieceAt &&
           (Sent < Does.Start.size() || !Does.Repeat.empty());
  }
  bool readsAnswers() const { return Does.ReadsAnswers; }

  void connectAgain(Clock::time_point Now) {
    if (isConnected() || Now < NextConnectAt)
      return;
    NextConnectAt = Now + ReconnectInterval;
    Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in Native = Server.native();
    auto *Address = reinterpret_cast<sockaddr *>(&Native);
    if (Socket >= 0 && connect(Socket, Address, sizeof(Native)) != 0 &&
        errno != EINPROGRESS)
      disconnect();
    Sent = RepeatSent = 0;
  }

  /// Sends what the connection takes. Returns true if it took any byte.
  bool sendMore(Clock::time_point Now) {
    bool SendsStart = Sent < Does.Start.size();
    const std::string &Text = SendsStart ? Does.Start : Does.Repeat;
    size_t &Offset = SendsStart ? Sent : RepeatSent;
    size_t Count = Text.size() - Offset;
    if (Does.PieceBytes > 0) {
      Count = std::min(Count, Does.PieceBytes);
      NextPieceAt = Now + PieceInterval;
    }
    ssize_t Taken = send(Socket, Text.data() + Offset, Count, MSG_NOSIGNAL);
    if (Taken < 0) {
      if (errno != EAGAIN && errno != EINTR)
        disconnect();
      return false;
    }
    Offset += static_cast<size_t>(Taken);
    if (!SendsStart && Offset == Text.size())
      Offset = 0;
    return true;
  }

  void readAnswer() {
    char Buffer[ReadBytes];
    ssize_t Count = recv(Socket, Buffer, sizeof(Buffer), 0);
    if (Count == 0 || (Count < 0 && errno != EAGAIN && errno != EINTR))
      disconnect();
  }

  void disconnect() {
    if (isConnected())
      close(Socket);
    Socket = -1;
  }

private:
  const SocketAddress Server;
  const Behaviour Does;
  int Socket = -1;
  size_t Sent = 0;       // Of Does.Start.
  size_t RepeatSent = 0; // Of the present Does.Repeat.
  Clock::time_point NextPieceAt;
  Clock::time_point NextConnectAt;
};

class Crowd {
public:
  Crowd(const SocketAddress &Server, const Behaviour &Does)
      : Clients(static_cast<size_t>(FLAGS_connections), Client(Server, Does)) {}

  void run() {
    auto Start = Clock::now();
    auto LastProgress = Start;
    bool IsSettled = false;
    while (Clock::now() - Start < std::chrono::seconds(FLAGS_seconds)) {
      if (turn())
        LastProgress = Clock::now();
      auto Now = Clock::now();
      if (!IsSettled &&
          (Now - LastProgress > QuietTime || Now - Start > SettleTimeout)) {
        IsSettled = true;
        std::cout << "settled" << std::endl;
      }
    }
  }

private:
  /// Handles all connections once. Returns true if any made progress.
  bool turn() {
    constexpr int PollMillis = 20;
    auto Now = Clock::now();
    std::vector<pollfd> Events;
    std::vector<Client *> Polled;
    for (Client &Each : Clients) {
      Each.connectAgain(Now);
      if (!Each.isConnected())
        continue;
      short Wanted = Each.readsAnswers() ? POLLIN : 0;
      if (Each.wantsToSend(Now))
        Wanted |= POLLOUT;
      Events.push_back({Each.descriptor(), Wanted, 0});
      Polled.push_back(&Each);
    }
    poll(Events.data(), Events.size(), PollMillis);
    bool Progress = false;
    for (size_t I = 0; I < Events.size(); ++I)
      Progress |= handle(*Polled[I], Events[I].revents, Now);
    return Progress;
  }

  static bool handle(Client &Each, short Occurred, Clock::time_point Now) {
    if ((Occurred & (POLLERR | POLLNVAL)) != 0) {
      Each.disconnect();
      return false;
    }
    bool Progress = (Occurred & POLLOUT) != 0 && Each.sendMore(Now);
    if (Each.isConnected() && (Occurred & (POLLIN | POLLHUP)) != 0) {
      if (Each.readsAnswers())
        Each.readAnswer();
      else if ((Occurred & POLLHUP) != 0)
        Each.disconnect();
    }
    return Progress;
  }

  std::vector<Client> Clients;
};

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  SocketAddress Server;
  auto Found = BehavioursByName.find(FLAGS_clients);
  if (SocketAddress::parse(FLAGS_address, Server) ||
      Found == BehavioursByName.end()) {
    std::cerr << "--address or --clients: expected IP:port and a kind of "
                 "clients\n";
    return EXIT_FAILURE;
  }
  Crowd(Server, Found->second()).run();
  return EXIT_SUCCESS;
}
