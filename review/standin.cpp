// Stand-ins for the review's scripts: one minion, or the provider's list of
// machines. They follow the users' PROTOCOL.md; where it is silent they behave
// like a sound minion or provider. Each event is one line on standard output:
// Unix milliseconds, who, what.
//
//   standin minion ID=.. SERVICE=.. ADDRESS=ip:port CONTROL=ip:port,.. [KEY=VALUE ..]
//   standin provider ADDRESS=ip:port MACHINES=m:pool:ip,.. CONTROL=.. [KEY=VALUE ..]
//     runs a minion process on each machine; it ends them with itself
//
//   standin relay LISTEN=ip:port TO=ip:port HOLD=file HOLD_MS=ms
//     passes calls on; holds one start back, unanswered, while the file is there
//
//   standin call ip:port METHOD PATH TIMEOUT_MS BODY [HEADER ..]
//     prints the status of the answer, 000 without one, and its body
//
// A task's spec is "work MS" (ends done after MS of work) or "lasts" (at work
// 200 ms after its start, until it is stopped).

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

using Json = nlohmann::json;
using std::string;

namespace {

std::map<string, string> Options;

string option(const string &Key, const string &Default = "") {
  auto Found = Options.find(Key);
  return Found == Options.end() ? Default : Found->second;
}

int64_t number(const string &Key, int64_t Default) {
  return std::stoll(option(Key, std::to_string(Default)));
}

int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

int64_t steadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void say(const string &Text) {
  static std::mutex Mutex;
  std::lock_guard<std::mutex> Lock(Mutex);
  std::cout << wallMs() << ' ' << Text << std::endl;
}

void pause(int64_t Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

std::vector<string> split(const string &Text, char By) {
  std::vector<string> Parts;
  std::stringstream In(Text);
  for (string Part; std::getline(In, Part, By);)
    Parts.push_back(Part);
  return Parts;
}

sockaddr_in addressOf(const string &Text) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  size_t Colon = Text.find(':');
  inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Result.sin_addr);
  Result.sin_port =
      htons(static_cast<uint16_t>(std::stoi(Text.substr(Colon + 1))));
  return Result;
}

struct Message {
  string FirstLine;
  std::map<string, string> Headers; // Names in lower case.
  string Body;
};

/// Reads one HTTP message with a content-length, if any. Keeps the rest.
bool readMessage(int Socket, string &Buffer, Message &Result) {
  auto More = [&] {
    char Bytes[65536];
    ssize_t Count = recv(Socket, Bytes, sizeof(Bytes), 0);
    if (Count <= 0)
      return false;
    Buffer.append(Bytes, static_cast<size_t>(Count));
    return true;
  };
  size_t End;
  while ((End = Buffer.find("\r\n\r\n")) == string::npos)
    if (!More())
      return false;
  std::stringstream Head(Buffer.substr(0, End));
  Result = {};
  string Line;
  std::getline(Head, Line);
  Result.FirstLine = Line.substr(0, Line.find('\r'));
  while (std::getline(Head, Line)) {
    size_t Colon = Line.find(':');
    if (Colon == string::npos)
      continue;
    string Name = Line.substr(0, Colon);
    for (char &C : Name)
      C = static_cast<char>(tolower(C));
    size_t From = Line.find_first_not_of(' ', Colon + 1);
    Result.Headers[Name] =
        From == string::npos ? "" : Line.substr(From, Line.find('\r') - From);
  }
  size_t Length = 0;
  if (Result.Headers.count("content-length"))
    Length = std::stoul(Result.Headers["content-length"]);
  while (Buffer.size() < End + 4 + Length)
    if (!More())
      return false;
  Result.Body = Buffer.substr(End + 4, Length);
  Buffer.erase(0, End + 4 + Length);
  return true;
}

void sendAll(int Socket, const string &Bytes) {
  for (size_t Sent = 0; Sent < Bytes.size();) {
    ssize_t Count =
        ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return;
    Sent += static_cast<size_t>(Count);
  }
}

/// In place of a status: the connection is reset without an answer.
constexpr int Reset = -1;
/// There is no answer; the connection stays open.
constexpr int Silent = -2;

using Handler = std::function<std::pair<int, Json>(
    const string &Method, const string &Path, const Message &Request)>;

void serve(const string &Address, Handler Handle) {
  int Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in At = addressOf(Address);
  while (bind(Listener, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0)
    pause(20);
  listen(Listener, 256);
  std::thread([Listener, Handle] {
    for (;;) {
      int Socket = accept(Listener, nullptr, nullptr);
      if (Socket < 0)
        continue;
      int One = 1;
      setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
      std::thread([Socket, Handle] {
        string Buffer;
        Message Request;
        while (readMessage(Socket, Buffer, Request)) {
          auto Words = split(Request.FirstLine, ' ');
          if (Words.size() < 2)
            break;
          auto [Status, Body] = Handle(Words[0], Words[1], Request);
          if (Status == Silent)
            continue;
          if (Status == Reset) {
            linger Now{1, 0};
            setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
            break;
          }
          string Text = Body.is_null() ? "" : Body.dump();
          sendAll(Socket, "HTTP/1.1 " + std::to_string(Status) +
                              " -\r\ncontent-type: application/json\r\n"
                              "content-length: " +
                              std::to_string(Text.size()) + "\r\n\r\n" + Text);
        }
        close(Socket);
      }).detach();
    }
  }).detach();
}

/// Returns the status and the body, or status 0 without an answer in time.
/// \p Headers are whole lines without their ends.
std::pair<int, string> call(const string &Address, const string &Method,
                            const string &Path, const string &Body,
                            int64_t TimeoutMs,
                            const std::vector<string> &Headers = {}) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval Limit{TimeoutMs / 1000, (TimeoutMs % 1000) * 1000};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  sockaddr_in To = addressOf(Address);
  std::pair<int, string> Result{0, ""};
  if (connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To)) == 0) {
    string Head = Method + " " + Path + " HTTP/1.1\r\n";
    bool HasHost = false;
    for (const string &Line : Headers) {
      HasHost |= Line.rfind("host:", 0) == 0;
      Head += Line + "\r\n";
    }
    if (!HasHost)
      Head += "host: " + Address + "\r\n";
    if (Method == "POST")
      Head += "content-type: application/json\r\ncontent-length: " +
              std::to_string(Body.size()) + "\r\n";
    sendAll(Socket, Head + "connection: close\r\n\r\n" + Body);
    string Buffer;
    Message Answer;
    if (readMessage(Socket, Buffer, Answer))
      Result = {std::stoi(Answer.FirstLine.substr(9, 3)), Answer.Body};
  }
  close(Socket);
  return Result;
}

// A minion.

class Minion {
public:
  void run() {
    say(Name() + " born");
    serve(option("ADDRESS"), [this](const string &, const string &Path,
                                    const Message &Request) {
      return onCall(Path, Request);
    });
    std::thread([this] { checkIn(); }).detach();
    for (;;) {
      pause(10);
      std::lock_guard<std::mutex> Lock(Mutex);
      endDueRuns();
    }
  }

private:
  struct Run {
    int64_t Attempt = 0;
    int64_t StartedAt = 0;
    int64_t WorkMs = -1; // Lasts, if negative.
    int64_t Cpu = 0;
  };
  struct End {
    int64_t Number;
    string Task;
    int64_t Attempt;
    string How;
  };

  string Name() const {
    return option("ID") + " " + std::to_string(Born) + " minion";
  }
  int64_t clock() const { return steadyMs() - Began; }

  void endRun(const string &Task, const string &How) {
    Run Ended = Runs.at(Task);
    Runs.erase(Task);
    HighestEnded[Task] = std::max(HighestEnded[Task], Ended.Attempt);
    Ends.push_back({++LastEnd, Task, Ended.Attempt, How});
    say(Name() + " end " + Task + " " + std::to_string(Ended.Attempt) + " " +
        How);
    Changed.notify_all();
  }

  void endDueRuns() {
    std::vector<std::pair<string, string>> Due;
    for (const auto &[Task, Active] : Runs)
      if (clock() >= LeaseEnd)
        Due.emplace_back(Task, "lapsed");
      else if (Active.WorkMs >= 0 &&
               clock() - Active.StartedAt >= Active.WorkMs)
        Due.emplace_back(Task, "done");
    for (const auto &[Task, How] : Due)
      endRun(Task, How);
  }

  void extendLease(const Json &Body) {
    if (!Body.contains("until-ms"))
      return;
    int64_t Until = Body["until-ms"].get<int64_t>();
    LeaseEnd =
        std::max(LeaseEnd, std::min(Until, clock() + number("HOLD_MAX", 6000)));
  }

  std::pair<int, Json> conflict(const char *Reason) {
    return {409, {{"clock-ms", clock()}, {"reason", Reason}}};
  }

  /// True while the file named by the option exists: the script's switch.
  static bool isOn(const char *Switch) {
    string File = option(Switch);
    return !File.empty() && std::ifstream(File).good();
  }

  std::pair<int, Json> onCall(const string &Path, const Message &Request) {
    Json Body = Json::parse(Request.Body, nullptr, false);
    if (!Body.is_object())
      return {400, {{"clock-ms", clock()}}};
    auto Expected = Request.Headers.find("mimosashunt-expect-instance");
    std::unique_lock<std::mutex> Lock(Mutex);
    if (Expected != Request.Headers.end() && Expected->second != option("ID"))
      return {421, {{"clock-ms", clock()}}};
    if (Path == "/mimosashunt/run-start" && isOn("BUSY")) {
      say(Name() + " refuses " + Body["task"].get<string>() + " " +
          std::to_string(Body["attempt"].get<int64_t>()) + " 503");
      return {503, {{"clock-ms", clock()}}};
    }
    if (Path == "/mimosashunt/run-start" && isOn("RESET")) {
      unlink(option("RESET").c_str());
      say(Name() + " resets the channel of a start of " +
          Body["task"].get<string>() + " and does nothing");
      return {Reset, nullptr};
    }
    int64_t Token = Body.value("fencing-token", int64_t{0});
    if (Token < Highest)
      return conflict("fence");
    Highest = Token;
    if (Path == "/mimosashunt/run-start")
      return start(Body);
    if (Path == "/mimosashunt/run-stop")
      return stop(Body);
    if (Path == "/mimosashunt/hold")
      return hold(Body, Lock);
    return {200, {{"clock-ms", clock()}}};
  }

  std::pair<int, Json> start(const Json &Body) {
    string Task = Body["task"];
    int64_t Attempt = Body["attempt"];
    auto There = Runs.find(Task);
    if (There != Runs.end() && There->second.Attempt == Attempt) {
      extendLease(Body);
      return {200, {{"clock-ms", clock()}}};
    }
    if (Body["until-ms"].get<int64_t>() <= clock())
      return conflict("late");
    extendLease(Body);
    auto Ended = HighestEnded.find(Task);
    if (Ended != HighestEnded.end() && Attempt <= Ended->second)
      return conflict("old");
    if (There != Runs.end())
      return conflict("old");
    auto Words = split(Body["spec"].get<string>(), ' ');
    Run New{Attempt, clock(), -1, 0};
    if (Words.size() == 2 && Words[0] == "work")
      New.WorkMs = std::stoll(Words[1]);
    Runs[Task] = New;
    say(Name() + " start " + Task + " " + std::to_string(Attempt) + " token " +
        std::to_string(Highest));
    return {200, {{"clock-ms", clock()}}};
  }

  std::pair<int, Json> stop(const Json &Body) {
    string Task = Body["task"];
    int64_t Attempt = Body["attempt"];
    say(Name() + " stop " + Task + " " + std::to_string(Attempt));
    HighestEnded[Task] = std::max(HighestEnded[Task], Attempt);
    auto There = Runs.find(Task);
    if (There != Runs.end() && There->second.Attempt <= Attempt)
      endRun(Task, "stopped");
    return {200, {{"clock-ms", clock()}}};
  }

  std::pair<int, Json> hold(const Json &Body,
                            std::unique_lock<std::mutex> &Lock) {
    extendLease(Body);
    int64_t Acked = Body.value("ack-cursor", int64_t{0});
    while (!Ends.empty() && Ends.front().Number <= Acked) {
      say(Name() + " acked " + Ends.front().Task + " " +
          std::to_string(Ends.front().Attempt) + " " + Ends.front().How);
      Ends.erase(Ends.begin());
    }
    int64_t Wait = std::min<int64_t>(Body.value("wait-ms", int64_t{0}), 2000);
    if (Wait > 0)
      Changed.wait_for(Lock, std::chrono::milliseconds(Wait),
                       [this] { return !Ends.empty(); });
    Json Running = Json::array(), Finished = Json::array();
    for (const auto &[Task, Active] : Runs) {
      int64_t Age = clock() - Active.StartedAt;
      int64_t Percent = Active.WorkMs < 0
                            ? (Age >= 200 ? 100 : Age / 2)
                            : std::min<int64_t>(99, Age * 100 /
                                                        (Active.WorkMs + 1));
      Running.push_back({Task, Active.Attempt, "", Percent, 0});
    }
    // An entry of another writer.
    if (isOn("FOREIGN"))
      Running.push_back({"nightly backup", 1, "", 10, 0});
    for (const End &Ended : Ends)
      if (Finished.size() < 500)
        Finished.push_back(
            {Ended.Number, Ended.Task, Ended.Attempt, Ended.How, ""});
    return {200,
            {{"clock-ms", clock()},
             {"born", Born},
             {"running", Running},
             {"finished", Finished}}};
  }

  void checkIn() {
    auto Controls = split(option("CONTROL"), ',');
    size_t Next = static_cast<size_t>(number("FIRST_CONTROL", 0));
    string Endpoint;
    for (int64_t Sequence = 1;; ++Sequence) {
      Json Body = {{"service", option("SERVICE")},
                   {"address", option("ADVERTISED", option("ADDRESS"))},
                   {"zone", option("ZONE", "arusha-a")},
                   {"version", "v1"},
                   {"capacity", 8},
                   {"state", "ready"},
                   {"cold-remaining-ms", 0},
                   {"machine", option("MACHINE", "m-" + option("ID"))},
                   {"capacity-free",
                    {{"cpu", number("CPU", 32000)},
                     {"mem-mb", number("MEM", 65536)},
                     {"gpu", 0}}},
                   {"labels", split(option("LABELS", "a,r1"), ',')},
                   {"clock-ms", clock()},
                   {"born", Born},
                   {"sequence", Sequence}};
      bool Acked = false;
      for (size_t Try = 0; Try < 2 * Controls.size() && !Acked; ++Try) {
        string To =
            Endpoint.empty() ? Controls[Next % Controls.size()] : Endpoint;
        auto [Status, Text] = call(To, "POST",
                                   "/mimosashunt/instances/" + option("ID") +
                                       "/heartbeat",
                                   Body.dump(), 1000);
        Acked = Status >= 200 && Status < 300;
        if (!Acked) {
          Endpoint.clear();
          ++Next;
          Body["sequence"] = ++Sequence;
          Body["clock-ms"] = clock();
          pause(50);
          continue;
        }
        Json Answer = Json::parse(Text, nullptr, false);
        if (Answer.is_object() && Answer.contains("heartbeat-endpoint"))
          Endpoint = Answer["heartbeat-endpoint"];
      }
      pause(1500);
    }
  }

  const int64_t Born = wallMs();
  const int64_t Began = steadyMs();
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<string, Run> Runs;
  std::map<string, int64_t> HighestEnded;
  std::vector<End> Ends;
  int64_t LastEnd = 0;
  int64_t LeaseEnd = 0;
  int64_t Highest = 0;
};

// The provider's machines.

class Provider {
public:
  void run() {
    signal(SIGTERM, [](int) { MustStop = true; });
    for (const string &Text : split(option("MACHINES"), ',')) {
      auto Parts = split(Text, ':');
      Machine &Item = Machines[Parts.at(0)];
      Item.Pool = Parts.at(1);
      Item.Ip = Parts.at(2);
      startMinion(Parts.at(0), Item);
    }
    serve(option("ADDRESS"), [this](const string &Method, const string &Path,
                                    const Message &Request) {
      std::lock_guard<std::mutex> Lock(Mutex);
      return Method == "GET" ? list(Path) : order(Path, Request);
    });
    for (;;) {
      pause(10);
      std::lock_guard<std::mutex> Lock(Mutex);
      if (MustStop) {
        for (auto &[Name, Item] : Machines)
          endMinion(Item);
        _exit(0);
      }
      advance();
    }
  }

private:
  static inline std::atomic<bool> MustStop{false};

  struct Machine {
    string Pool;
    string Ip;
    string State = "up";
    int64_t Until = 0;
    int64_t Token = 0;
    int Lives = 0;
    pid_t Process = 0;
    string minion(const string &Name) const {
      return "i-" + Name.substr(2) + "-" + std::to_string(Lives);
    }
  };

  /// Returns once the process is gone.
  static void endMinion(Machine &Item) {
    if (Item.Process <= 0)
      return;
    kill(Item.Process, SIGKILL);
    while (waitpid(Item.Process, nullptr, 0) < 0 && errno == EINTR) {
    }
    Item.Process = 0;
  }

  void startMinion(const string &Name, Machine &Item) {
    ++Item.Lives;
    std::vector<string> Words = {"standin",
                                 "minion",
                                 "ID=" + Item.minion(Name),
                                 "MACHINE=" + Name,
                                 "SERVICE=" + Item.Pool,
                                 "ADDRESS=" + Item.Ip + ":8080",
                                 "CONTROL=" + option("CONTROL")};
    std::vector<char *> Arguments;
    for (string &Word : Words)
      Arguments.push_back(Word.data());
    Arguments.push_back(nullptr);
    Item.Process = fork();
    if (Item.Process != 0)
      return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    execv("/proc/self/exe", Arguments.data());
    _exit(2);
  }

  /// The name of the machine whose entry another writer has written, or "".
  static string oddMachine() {
    std::ifstream In(option("ODD"));
    string Name;
    In >> Name;
    return Name;
  }

  void advance() {
    for (auto &[Name, Item] : Machines)
      if (Item.State != "up" && wallMs() >= Item.Until) {
        Item.State = "up";
        say("provider " + Name + " up");
        startMinion(Name, Item);
      }
  }

  std::pair<int, Json> list(const string &Path) {
    if (Path.rfind("/mimosashunt/machines", 0) != 0)
      return {404, nullptr};
    string Odd = oddMachine();
    Json Entries = Json::array();
    for (const auto &[Name, Item] : Machines) {
      Json Entry = {{"machine", Name},
                    {"pool", Item.Pool},
                    {"state", Item.State},
                    {"zone", "arusha-a"},
                    {"labels", {"a", "r1"}},
                    {"capacity-free",
                     {{"cpu", 32000}, {"mem-mb", 65536}, {"gpu", 0}}},
                    {"id", Item.minion(Name)}};
      if (Name == Odd)
        Entry["state"] = option("ODD_STATE", "inspection");
      Entries.push_back(Entry);
    }
    if (!Odd.empty() && !WasOdd)
      say("provider lists " + Odd + " with state " +
          option("ODD_STATE", "inspection"));
    if (Odd.empty() && WasOdd)
      say("provider lists all machines with their states again");
    WasOdd = !Odd.empty();
    return {200, {{"machines", Entries}, {"next-token", ""}}};
  }

  std::pair<int, Json> order(const string &Path, const Message &Request) {
    Json Body = Json::parse(Request.Body, nullptr, false);
    if (!Body.is_object() || !Machines.count(Body.value("machine", "")))
      return {400, nullptr};
    string Name = Body["machine"];
    Machine &Item = Machines[Name];
    auto Header = Request.Headers.find("mimosashunt-fencing-token");
    int64_t Token =
        Header == Request.Headers.end() ? 0 : std::stoll(Header->second);
    if (Token < Item.Token)
      return {409, {{"reason", "fence"}}};
    Item.Token = Token;
    bool IsUpkeep = Path == "/mimosashunt/machine-upkeep";
    if (Item.State == "upkeep" && IsUpkeep)
      return {200, nullptr};
    if (Item.State != "up")
      return {409, {{"reason", "busy"}}};
    if (IsUpkeep && Done.count({Name, Body.value("wave", int64_t{0})}))
      return {200, nullptr};
    endMinion(Item);
    Item.State = IsUpkeep ? "upkeep" : "moving";
    Item.Until = wallMs() + (IsUpkeep ? 2000 : 1500);
    if (IsUpkeep)
      Done[{Name, Body.value("wave", int64_t{0})}] = true;
    else
      Item.Pool = Body.value("pool", "");
    say("provider " + Name + (IsUpkeep ? " upkeep begins" : " moves"));
    return {200, nullptr};
  }

  std::mutex Mutex;
  std::map<string, Machine> Machines;
  std::map<std::pair<string, int64_t>, bool> Done;
  bool WasOdd = false;
};

// A relay in front of a minion.

void runRelay() {
  serve(option("LISTEN"), [](const string &, const string &Path,
                             const Message &Request) -> std::pair<int, Json> {
    auto Header = Request.Headers.find("mimosashunt-expect-instance");
    std::vector<string> Headers;
    if (Header != Request.Headers.end())
      Headers.push_back(Header->first + ": " + Header->second);
    auto PassOn = [Path, Headers, Text = Request.Body] {
      return call(option("TO"), "POST", Path, Text, 5000, Headers);
    };
    bool IsHeld = Path == "/mimosashunt/run-start" &&
                  unlink(option("HOLD").c_str()) == 0;
    if (IsHeld) {
      say("relay holds back " + Request.Body);
      std::thread([PassOn] {
        pause(number("HOLD_MS", 2500));
        say("relay delivers what it has held back");
        auto [Status, Text] = PassOn();
        say("relay: answer " + std::to_string(Status) + " " + Text);
      }).detach();
      return {Silent, nullptr};
    }
    auto [Status, Text] = PassOn();
    if (Status == 0)
      return {Reset, nullptr};
    return {Status, Json::parse(Text, nullptr, false)};
  });
  for (;;)
    pause(1000);
}

} // namespace

int main(int Count, char **Arguments) {
  signal(SIGPIPE, SIG_IGN);
  string Mode = Count > 1 ? Arguments[1] : "";
  if (Mode == "call" && Count >= 7) {
    auto [Status, Body] =
        call(Arguments[2], Arguments[3], Arguments[4], Arguments[6],
             std::stoll(Arguments[5]),
             std::vector<string>(Arguments + 7, Arguments + Count));
    std::cout << (Status == 0 ? "000" : std::to_string(Status)) << ' ' << Body;
    return 0;
  }
  for (int I = 2; I < Count; ++I) {
    string Text = Arguments[I];
    size_t Equals = Text.find('=');
    if (Equals != string::npos)
      Options[Text.substr(0, Equals)] = Text.substr(Equals + 1);
  }
  if (Mode == "minion") {
    static Minion Self;
    Self.run();
  } else if (Mode == "provider") {
    static Provider Self;
    Self.run();
  } else if (Mode == "relay") {
    runRelay();
  }
  return 2;
}
