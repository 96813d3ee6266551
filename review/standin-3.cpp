// Stand-ins for callers, the operator, workers ("minions") and the platform
// ("provider"), and the scenarios of the cases 11 to 15. They speak what the
// users' pages say. One thread for each connection; no dependency but
// nlohmann-json, which the deploy file lists.

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

// Time and the record.

static const Clock::time_point ProgramStart = Clock::now();

static int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               ProgramStart)
      .count();
}

static int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

static void sleepMs(int64_t Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

static std::mutex RecordMutex;
static std::ofstream RecordFile;

static void record(const std::string &Line) {
  std::lock_guard<std::mutex> Lock(RecordMutex);
  RecordFile << nowMs() << " ms  " << Line << std::endl;
}

[[noreturn]] static void finish(int Status, const std::string &Why) {
  record((Status == 1   ? "BROKEN: "
          : Status == 0 ? "HELD: "
                        : "NOT RUN: ") +
         Why);
  std::cout << Why << std::endl;
  std::_Exit(Status);
}

// HTTP.

struct Request {
  std::string Method, Path, Query, Body;
  std::map<std::string, std::string> Headers;
};

struct Response {
  int Status = 0; // 0: no answer came; as an answer: the connection is cut.
  std::string Body;
  std::map<std::string, std::string> Headers;
};

static std::string lower(std::string Text) {
  for (char &C : Text)
    C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  return Text;
}

static sockaddr_in parseAddress(const std::string &Text) {
  sockaddr_in Result{};
  size_t Colon = Text.find(':');
  Result.sin_family = AF_INET;
  Result.sin_port =
      htons(static_cast<uint16_t>(std::stoi(Text.substr(Colon + 1))));
  inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Result.sin_addr);
  return Result;
}

/// Reads until the head and the announced body are whole. Returns false on an
/// error, the end of the stream or the deadline.
static bool readMessage(int Fd, std::string &Buffer, std::string &Head,
                        std::string &Body,
                        std::map<std::string, std::string> &Headers,
                        int64_t DeadlineMs) {
  for (;;) {
    size_t End = Buffer.find("\r\n\r\n");
    if (End != std::string::npos) {
      Head = Buffer.substr(0, End);
      Headers.clear();
      std::istringstream Lines(Head);
      std::string Line;
      std::getline(Lines, Line);
      while (std::getline(Lines, Line)) {
        if (!Line.empty() && Line.back() == '\r')
          Line.pop_back();
        size_t Colon = Line.find(':');
        if (Colon == std::string::npos)
          continue;
        size_t Value = Line.find_first_not_of(' ', Colon + 1);
        Headers[lower(Line.substr(0, Colon))] =
            Value == std::string::npos ? "" : Line.substr(Value);
      }
      size_t Length = Headers.count("content-length")
                          ? std::stoul(Headers["content-length"])
                          : 0;
      if (Buffer.size() >= End + 4 + Length) {
        Body = Buffer.substr(End + 4, Length);
        Buffer.erase(0, End + 4 + Length);
        return true;
      }
    }
    int64_t Left = DeadlineMs - nowMs();
    if (Left <= 0)
      return false;
    pollfd Poll{Fd, POLLIN, 0};
    if (poll(&Poll, 1, static_cast<int>(Left)) <= 0)
      continue;
    char Chunk[16384];
    ssize_t Count = recv(Fd, Chunk, sizeof(Chunk), 0);
    if (Count <= 0)
      return false;
    Buffer.append(Chunk, static_cast<size_t>(Count));
  }
}

static bool sendAll(int Fd, const std::string &Bytes) {
  size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Count =
        send(Fd, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<size_t>(Count);
  }
  return true;
}

/// A call on a connection of its own, which is closed at the deadline.
static Response call(const std::string &Address, const std::string &Method,
                     const std::string &Path, const std::string &Body,
                     int64_t TimeoutMs,
                     const std::map<std::string, std::string> &Headers = {}) {
  Response Result;
  int64_t Deadline = nowMs() + TimeoutMs;
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in To = parseAddress(Address);
  if (connect(Fd, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0) {
    close(Fd);
    return Result;
  }
  std::string Text = Method + " " + Path + " HTTP/1.1\r\n";
  if (!Headers.count("host"))
    Text += "host: " + Address + "\r\n";
  for (const auto &[Name, Value] : Headers)
    Text += Name + ": " + Value + "\r\n";
  if (Method != "GET")
    Text += "content-type: application/json\r\ncontent-length: " +
            std::to_string(Body.size()) + "\r\n";
  Text += "\r\n" + Body;
  std::string Buffer, Head;
  if (sendAll(Fd, Text) &&
      readMessage(Fd, Buffer, Head, Result.Body, Result.Headers, Deadline))
    Result.Status = std::atoi(Head.substr(9, 3).c_str());
  close(Fd);
  return Result;
}

/// A server that can fall silent for good, as a process that has ended.
class Server {
public:
  using Handler = std::function<Response(const Request &)>;

  bool listen(const std::string &Address, Handler NewHandler) {
    Handle = std::move(NewHandler);
    Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int On = 1;
    setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    sockaddr_in At = parseAddress(Address);
    if (bind(Listener, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0 ||
        ::listen(Listener, 256) != 0)
      return false;
    Open = std::make_shared<Connections>();
    std::thread([this, Fd = Listener, Set = Open] {
      accept(Fd, Set);
    }).detach();
    return true;
  }

  /// Closes all sockets: connections are reset and refused.
  void end() {
    std::lock_guard<std::mutex> Lock(Open->Mutex);
    Open->HasEnded = true;
    ::shutdown(Listener, SHUT_RDWR);
    ::close(Listener);
    for (int Fd : Open->Fds) {
      linger Reset{1, 0};
      setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
      ::shutdown(Fd, SHUT_RDWR);
    }
  }

private:
  struct Connections {
    std::mutex Mutex;
    std::set<int> Fds;
    bool HasEnded = false;
  };

  void accept(int Fd, std::shared_ptr<Connections> Set) {
    for (;;) {
      int Peer = ::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (Peer < 0)
        return;
      int On = 1;
      setsockopt(Peer, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      {
        std::lock_guard<std::mutex> Lock(Set->Mutex);
        if (Set->HasEnded) {
          close(Peer);
          return;
        }
        Set->Fds.insert(Peer);
      }
      std::thread([this, Peer, Set] { serve(Peer, Set); }).detach();
    }
  }

  void serve(int Fd, std::shared_ptr<Connections> Set) {
    std::string Buffer, Head;
    Request Call;
    while (readMessage(Fd, Buffer, Head, Call.Body, Call.Headers,
                       nowMs() + 600000)) {
      std::istringstream First(Head);
      First >> Call.Method >> Call.Path;
      size_t Question = Call.Path.find('?');
      Call.Query =
          Question == std::string::npos ? "" : Call.Path.substr(Question + 1);
      Call.Path = Call.Path.substr(0, Question);
      Response Answer = Handle(Call);
      {
        std::lock_guard<std::mutex> Lock(Set->Mutex);
        if (Set->HasEnded)
          break;
      }
      if (Answer.Status == 0)
        break;
      std::string Text = "HTTP/1.1 " + std::to_string(Answer.Status) +
                         " -\r\ncontent-type: application/json\r\n"
                         "content-length: " +
                         std::to_string(Answer.Body.size()) + "\r\n\r\n" +
                         Answer.Body;
      if (!sendAll(Fd, Text))
        break;
    }
    std::lock_guard<std::mutex> Lock(Set->Mutex);
    Set->Fds.erase(Fd);
    close(Fd);
  }

  Handler Handle;
  int Listener = -1;
  std::shared_ptr<Connections> Open;
};

// Settings of the fleet, from the command line.

struct Fleet {
  std::vector<std::string> Control, Entries;
  std::vector<pid_t> ControlPids, EntryPids;
  std::string Net;       // 127.NET.N.
  std::string PidFolder; // Holds the id of each control machine's process.
  bool Trouble = true;
} Setup;

static std::string ip(int Last) {
  return "127." + Setup.Net + "." + std::to_string(Last);
}

// Workers.

class Worker {
public:
  struct Options {
    std::string Id, Pool, Machine, Address, Kind = "a", Rack = "r1";
    int64_t Cpu = 8000, MemoryMb = 65536;
  };
  struct Run {
    uint32_t Attempt = 0;
    int64_t StartedAt = 0, DurationMs = 0; // 0: lasts.
    std::string Checkpoint;
    int64_t Cpu = 0;
  };

  explicit Worker(Options Given) : Config(std::move(Given)) {}

  /// A new life. It holds and knows nothing of an earlier one.
  bool start() {
    std::lock_guard<std::mutex> Lock(Mutex);
    Born = wallMs();
    StartedAt = nowMs();
    Runs.clear();
    Ends.clear();
    Highest.clear();
    LastEnd = HighestToken = Sequence = 0;
    LeaseEnd = 0;
    IsUp = true;
    ++Life;
    record("worker " + Config.Id + " begins life " + std::to_string(Life));
    // Earlier servers stay: threads of their connections may still use them.
    Http = new Server;
    bool Listens =
        Http->listen(Config.Address, [this, At = Life](const Request &Call) {
          return handle(Call, At);
        });
    if (Listens) {
      std::thread([this, At = Life] { report(At); }).detach();
      std::thread([this, At = Life] { keepTime(At); }).detach();
    }
    return Listens;
  }

  /// Ends at once, with all that runs. \p Dark: connections stay open and
  /// silent, as those of a machine without power.
  void crash(bool Dark = false) {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (!IsUp)
      return;
    IsUp = false;
    std::string Lost;
    for (const auto &[Task, Active] : Runs)
      Lost += " " + Task + " (attempt " + std::to_string(Active.Attempt) + ")";
    record("worker " + Config.Id + " crashes" + (Dark ? ", silent" : "") +
           "; it ran" + (Lost.empty() ? " nothing" : Lost));
    ++Life;
    Runs.clear();
    if (!Dark)
      Http->end();
    Changed.notify_all();
  }

  size_t running() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Runs.size();
  }
  bool runs(const std::string &Job) {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &[Task, Active] : Runs)
      if (Task.compare(0, Job.size(), Job) == 0)
        return true;
    return false;
  }
  bool isUp() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return IsUp;
  }
  void setPool(const std::string &Pool) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Config.Pool = Pool;
  }

  const Options &options() const { return Config; }
  std::function<void(const std::string &Job, const std::string &Task)> OnStart;
  bool IsQuiet = false; // Starts and ends are not recorded.
  /// Ends `failed` that were listed, by job.
  static std::map<std::string, int> FailedEnds;

private:
  int64_t clockMs() const { return nowMs() - StartedAt; }

  Response respond(int Status, Json Body) {
    Body["clock-ms"] = clockMs();
    Body["born"] = Born;
    return {Status, Body.dump(), {}};
  }

  void report(int At) {
    size_t Next = std::hash<std::string>()(Config.Id) % Setup.Control.size();
    std::string To = Setup.Control[Next];
    for (;;) {
      Json Body;
      {
        std::lock_guard<std::mutex> Lock(Mutex);
        if (At != Life || !IsUp)
          return;
        Body = {
            {"service", Config.Pool},
            {"address", Config.Address},
            {"zone", "dc-1"},
            {"version", "v1"},
            {"capacity", 8},
            {"state", "ready"},
            {"cold-remaining-ms", 0},
            {"machine", Config.Machine},
            {"capacity-free",
             {{"cpu", Config.Cpu}, {"mem-mb", Config.MemoryMb}, {"gpu", 0}}},
            {"labels", {Config.Kind, Config.Rack}},
            {"clock-ms", clockMs()},
            {"sequence", ++Sequence},
            {"born", Born}};
      }
      Response Answer =
          call(To, "POST", "/mimosashunt/instances/" + Config.Id + "/heartbeat",
               Body.dump(), 1000);
      int64_t Pause = 1500;
      if (Answer.Status == 200) {
        Json Parsed = Json::parse(Answer.Body, nullptr, false);
        if (Parsed.is_object() && Parsed.contains("heartbeat-endpoint"))
          To = Parsed["heartbeat-endpoint"].get<std::string>();
      } else {
        Next = (Next + 1) % Setup.Control.size();
        To = Setup.Control[Next];
        Pause = 100;
      }
      sleepMs(Pause);
    }
  }

  void keepTime(int At) {
    for (;;) {
      sleepMs(10);
      std::lock_guard<std::mutex> Lock(Mutex);
      if (At != Life || !IsUp)
        return;
      std::vector<std::pair<std::string, const char *>> Ending;
      for (const auto &[Task, Active] : Runs) {
        if (clockMs() >= LeaseEnd)
          Ending.emplace_back(Task, "lapsed");
        else if (Active.DurationMs > 0 &&
                 nowMs() - Active.StartedAt >= Active.DurationMs)
          Ending.emplace_back(Task, "done");
      }
      for (const auto &[Task, How] : Ending)
        endRun(Task, How);
    }
  }

  // Called with the mutex held.
  void endRun(const std::string &Task, const char *How) {
    Run Ended = Runs.at(Task);
    Runs.erase(Task);
    Highest[Task] = std::max(Highest[Task], Ended.Attempt);
    Ends.push_back({++LastEnd, Task, Ended.Attempt, How, ""});
    if (std::string(How) == "failed")
      ++FailedEnds[Task.substr(0, Task.find('.'))];
    if (!IsQuiet)
      record("worker " + Config.Id + ": " + Task + " attempt " +
             std::to_string(Ended.Attempt) + " ended " + How);
    Changed.notify_all();
  }

  Json lists() {
    Json Running = Json::array(), Finished = Json::array();
    for (const auto &[Task, Active] : Runs) {
      int64_t Age = nowMs() - Active.StartedAt;
      int64_t Percent =
          Active.DurationMs > 0
              ? std::min<int64_t>(99, Age * 100 / Active.DurationMs)
              : std::min<int64_t>(100, Age * 100 / 700);
      Running.push_back({Task, Active.Attempt, "", Percent, 1});
    }
    for (const Json &End : Ends)
      Finished.push_back(End);
    return {{"running", Running}, {"finished", Finished}};
  }

  Response handle(const Request &Call, int At) {
    std::unique_lock<std::mutex> Lock(Mutex);
    if (At != Life || !IsUp) {
      // A machine without power keeps nothing and answers nothing.
      Lock.unlock();
      sleepMs(600000);
      return {};
    }
    Json Body = Json::parse(Call.Body, nullptr, false);
    if (!Body.is_object())
      return respond(400, Json::object());
    auto Expected = Call.Headers.find("mimosashunt-expect-instance");
    if (Expected != Call.Headers.end() && Expected->second != Config.Id)
      return respond(421, Json::object());
    auto Token = Body.value("fencing-token", uint64_t{0});
    if (Token < HighestToken)
      return respond(409, {{"reason", "fence"}});
    HighestToken = Token;
    if (Call.Path == "/mimosashunt/run-start")
      return handleStart(Body);
    if (Call.Path == "/mimosashunt/run-stop")
      return handleStop(Body);
    if (Call.Path == "/mimosashunt/hold")
      return handleHold(Body, Lock, At);
    return respond(200, Json::object());
  }

  void extendLease(int64_t Until) {
    LeaseEnd = std::max(LeaseEnd, std::min(Until, clockMs() + 10000));
  }

  Response handleStart(const Json &Body) {
    auto Task = Body.at("task").get<std::string>();
    auto Attempt = Body.at("attempt").get<uint32_t>();
    auto Until = Body.at("until-ms").get<int64_t>();
    if (Until <= clockMs())
      return respond(409, {{"reason", "late"}});
    extendLease(Until);
    auto Present = Runs.find(Task);
    if (Present != Runs.end() && Present->second.Attempt == Attempt)
      return respond(200, Json::object());
    if (Present != Runs.end() ||
        (Highest.count(Task) && Attempt <= Highest[Task]))
      return respond(409, {{"reason", "old"}});
    auto Spec = Body.at("spec").get<std::string>();
    // A spec is "DURATION-MS CPU", duration 0 for a task that lasts.
    Run New;
    New.Attempt = Attempt;
    New.StartedAt = nowMs();
    std::istringstream(Spec) >> New.DurationMs >> New.Cpu;
    int64_t Used = 0;
    for (const auto &[Other, Active] : Runs)
      Used += Active.Cpu;
    if (Used + New.Cpu > Config.Cpu)
      return respond(409, {{"reason", "room"}});
    Runs[Task] = New;
    if (!IsQuiet)
      record("worker " + Config.Id + " starts " + Task + " attempt " +
             std::to_string(Attempt));
    if (OnStart)
      OnStart(Task.substr(0, Task.find('.')), Task);
    return respond(200, Json::object());
  }

  Response handleStop(const Json &Body) {
    auto Task = Body.at("task").get<std::string>();
    auto Attempt = Body.at("attempt").get<uint32_t>();
    Highest[Task] = std::max(Highest[Task], Attempt);
    auto Present = Runs.find(Task);
    if (Present != Runs.end() && Present->second.Attempt <= Attempt)
      endRun(Task, "stopped");
    return respond(200, Json::object());
  }

  Response handleHold(const Json &Body, std::unique_lock<std::mutex> &Lock,
                      int At) {
    auto Cursor = Body.value("ack-cursor", uint64_t{0});
    std::erase_if(Ends, [&](const Json &End) {
      return End.at(0).get<uint64_t>() <= Cursor;
    });
    if (Body.contains("until-ms"))
      extendLease(Body.at("until-ms").get<int64_t>());
    auto Wait = Body.value("wait-ms", int64_t{0});
    if (Wait > 0 && Ends.empty())
      Changed.wait_for(Lock, std::chrono::milliseconds(Wait),
                       [&] { return !Ends.empty() || At != Life; });
    if (At != Life || !IsUp) {
      Lock.unlock();
      sleepMs(600000);
      return {};
    }
    return respond(200, lists());
  }

  Options Config;
  std::mutex Mutex;
  std::condition_variable Changed;
  Server *Http = nullptr;
  bool IsUp = false;
  int Life = 0;
  int64_t Born = 0, StartedAt = 0, LeaseEnd = 0;
  uint64_t HighestToken = 0, Sequence = 0, LastEnd = 0;
  std::map<std::string, Run> Runs;
  std::map<std::string, uint32_t> Highest;
  std::vector<Json> Ends;
};

std::map<std::string, int> Worker::FailedEnds;

// The platform: machines, moves and upkeeps.

class Platform {
public:
  struct Machine {
    std::string Pool, State = "up";
    Worker *On = nullptr;
    uint64_t HighestToken = 0;
    uint64_t Wave = 0;      // Of the upkeep that it is in or had last.
    std::set<uint64_t> Had; // Waves whose upkeep has begun.
  };

  bool listen(const std::string &Address) {
    return Http.listen(Address,
                       [this](const Request &Call) { return handle(Call); });
  }
  void add(Worker &On) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Machine &New = Machines[On.options().Machine];
    New.Pool = On.options().Pool;
    New.On = &On;
  }
  bool hasBegun(const std::string &Name, uint64_t Wave) {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Machines.at(Name).Had.count(Wave) > 0;
  }
  size_t downFor(uint64_t Wave) {
    std::lock_guard<std::mutex> Lock(Mutex);
    return countDown(Wave);
  }

  static constexpr int64_t UpkeepMs = 2000;
  static constexpr int64_t MoveMs = 1500;
  std::mutex Mutex;
  std::map<std::string, Machine> Machines;
  /// Changes a machine's entry in an answer to a list.
  std::function<void(const std::string &Machine, Json &Entry)> ChangeEntry;
  /// Called with the mutex held before an upkeep is carried out. Returns true
  /// if the call gets no answer and is not carried out now.
  std::function<bool(const std::string &Machine, uint64_t Wave, uint64_t Token)>
      HoldUp;
  /// Called with the mutex held when an upkeep begins.
  std::function<void(const std::string &Machine, uint64_t Wave, size_t Others)>
      OnUpkeep;

  /// Carries out an upkeep. Called with the mutex held.
  Response upkeep(const std::string &Name, uint64_t Wave, uint64_t Token) {
    Machine &M = Machines.at(Name);
    if (Token < M.HighestToken) {
      record("platform: upkeep of " + Name + " with token " +
             std::to_string(Token) + " refused: fence");
      return {409, R"({"reason":"fence"})", {}};
    }
    M.HighestToken = Token;
    if (M.Had.count(Wave))
      return {200, "{}", {}};
    if (M.State != "up")
      return {409, R"({"reason":"busy"})", {}};
    size_t Others = countDown(Wave);
    M.State = "upkeep";
    M.Wave = Wave;
    M.Had.insert(Wave);
    record("platform: upkeep of " + Name + " for wave " + std::to_string(Wave) +
           " begins, ordered with token " + std::to_string(Token) + "; " +
           std::to_string(Others) + " other(s) of the wave down for theirs");
    if (OnUpkeep)
      OnUpkeep(Name, Wave, Others);
    restart(Name, UpkeepMs);
    return {200, "{}", {}};
  }

private:
  size_t countDown(uint64_t Wave) const {
    size_t Count = 0;
    for (const auto &[Name, M] : Machines)
      Count += M.State == "upkeep" && M.Wave == Wave ? 1 : 0;
    return Count;
  }

  void restart(const std::string &Name, int64_t AfterMs) {
    std::thread([this, Name, AfterMs, On = Machines.at(Name).On] {
      On->crash();
      sleepMs(AfterMs);
      {
        std::lock_guard<std::mutex> Lock(Mutex);
        On->setPool(Machines.at(Name).Pool);
        Machines.at(Name).State = "up";
      }
      On->start();
      record("platform: " + Name + " is up again");
    }).detach();
  }

  Response handle(const Request &Call) {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Call.Path == "/mimosashunt/machines") {
      Json List = Json::array();
      for (auto &[Name, M] : Machines) {
        const Worker::Options &W = M.On->options();
        Json Entry = {{"machine", Name},
                      {"pool", M.Pool},
                      {"state", M.State},
                      {"zone", "dc-1"},
                      {"labels", {W.Kind, W.Rack}},
                      {"capacity-free",
                       {{"cpu", W.Cpu}, {"mem-mb", W.MemoryMb}, {"gpu", 0}}},
                      {"id", W.Id}};
        if (ChangeEntry)
          ChangeEntry(Name, Entry);
        List.push_back(Entry);
      }
      return {200, Json{{"machines", List}, {"next-token", ""}}.dump(), {}};
    }
    Json Body = Json::parse(Call.Body, nullptr, false);
    if (!Body.is_object() || !Machines.count(Body.value("machine", "")))
      return {400, "{}", {}};
    auto Name = Body["machine"].get<std::string>();
    auto TokenAt = Call.Headers.find("mimosashunt-fencing-token");
    uint64_t Token =
        TokenAt == Call.Headers.end() ? 0 : std::stoull(TokenAt->second);
    auto HolderAt = Call.Headers.find("mimosashunt-duty-holder");
    record("platform: " + Call.Path.substr(13) + " of " + Name + " by " +
           (HolderAt == Call.Headers.end() ? "?" : HolderAt->second) +
           ", token " + std::to_string(Token));
    if (Call.Path == "/mimosashunt/machine-upkeep") {
      auto Wave = Body.value("wave", uint64_t{0});
      if (HoldUp && HoldUp(Name, Wave, Token))
        return {};
      return upkeep(Name, Wave, Token);
    }
    if (Call.Path != "/mimosashunt/machine-move")
      return {404, "{}", {}};
    Machine &M = Machines.at(Name);
    auto Pool = Body.value("pool", std::string());
    if (Token < M.HighestToken)
      return {409, R"({"reason":"fence"})", {}};
    M.HighestToken = Token;
    if (M.Pool == Pool)
      return {200, "{}", {}};
    if (M.State != "up")
      return {409, R"({"reason":"busy"})", {}};
    M.State = "moving";
    M.Pool = Pool;
    restart(Name, MoveMs);
    return {200, "{}", {}};
  }

  Server Http;
};

// Callers and the operator.

static std::string keyOf(int Tenant) {
  return "k7m2vq9r4t8w1x3z5b6d" + std::to_string(Tenant);
}

/// A manifest of one service `yard` with the queue /yard/.
static Json manifest(uint64_t Version, int Tenants = 1) {
  Json Route = {
      {"name", "r-yard"}, {"host", "yard.example"}, {"path-prefix", "/yard/"},
      {"type", "unsafe"}, {"timeout-ms", 3000},     {"target-latency-ms", 600},
      {"priority", 0},    {"service", "yard"},      {"max-attempts", 3},
      {"stretch", 1.6},   {"public", false}};
  Json Service = {{"name", "yard"},        {"health-path", "/health"},
                  {"max-connections", 64}, {"protocol", "h1"},
                  {"tls", false},          {"rejects-overload", true},
                  {"standby", false}};
  Json List = Json::array();
  for (int I = 0; I < Tenants; ++I)
    List.push_back({{"name", "grooms" + std::to_string(I)},
                    {"api-keys", {keyOf(I)}},
                    {"priority", 1},
                    {"weight", 40},
                    {"maximum", {{"cpu", 0}, {"mem-mb", 0}, {"gpu", 0}}}});
  return {{"version", Version},
          {"routes", {Route}},
          {"services", {Service}},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", 262144},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15000}}},
          {"tenants", List}};
}

/// An operator's call; goes to the next daemon after a failure.
static Response operate(const std::string &Method, const std::string &Path,
                        const std::string &Body, int64_t ForMs) {
  int64_t End = nowMs() + ForMs;
  Response Answer;
  for (size_t I = 0; nowMs() < End; ++I) {
    Answer =
        call(Setup.Control[I % Setup.Control.size()], Method, Path, Body, 1000);
    if (Answer.Status != 0 && Answer.Status < 500 && Answer.Status != 408 &&
        Answer.Status != 429)
      return Answer;
    sleepMs(100);
  }
  return Answer;
}

static Response requestOf(size_t Entry, const std::string &Method,
                          const std::string &Path, const std::string &Body = {},
                          int64_t TimeoutMs = 3000) {
  Response Answer =
      call(Setup.Entries[Entry], Method, Path, Body, TimeoutMs,
           {{"host", "yard.example"},
            {"authorization", "Bearer " + keyOf(0)},
            {"mimosashunt-deadline-ms", std::to_string(TimeoutMs)}});
  record(Method + " " + Path + " at entry " + std::to_string(Entry + 1) +
         " -> " +
         (Answer.Status == 0 ? "no answer" : std::to_string(Answer.Status)) +
         " " + Answer.Body);
  return Answer;
}

static Response quietRequest(int Tenant, int Number, const std::string &Method,
                             const std::string &Path, const std::string &Body) {
  return call(Setup.Entries[static_cast<size_t>(Number) % Setup.Entries.size()],
              Method, Path, Body, 3000,
              {{"host", "yard.example"},
               {"authorization", "Bearer " + keyOf(Tenant)},
               {"mimosashunt-deadline-ms", "3000"}});
}

static Json step(int Count, int64_t Cpu, int64_t EstimateMs) {
  return {{"count", Count},
          {"cpu", Cpu},
          {"mem-mb", 256},
          {"estimate-ms", EstimateMs}};
}

static std::string stateOf(size_t Entry, const std::string &Id) {
  Response Answer = requestOf(Entry, "GET", "/yard/" + Id);
  Json Body = Json::parse(Answer.Body, nullptr, false);
  return Answer.Status == 200 && Body.is_object() ? Body.value("state", "")
                                                  : std::string();
}

/// Submits until it is accepted.
static void submit(const std::string &Id, const Json &Body) {
  for (int I = 0; I < 20; ++I) {
    Response Answer = requestOf(static_cast<size_t>(I) % Setup.Entries.size(),
                                "POST", "/yard/" + Id, Body.dump());
    if (Answer.Status >= 200 && Answer.Status < 300)
      return;
    sleepMs(500);
  }
  finish(2, "the submission was not accepted");
}

static void uploadManifest(const Json &Body) {
  Response Answer =
      operate("POST", "/mimosashunt/config/replace", Body.dump(), 20000);
  record("manifest " + std::to_string(Body.at("version").get<uint64_t>()) +
         " -> " + std::to_string(Answer.Status));
  if (Answer.Status != 200)
    finish(2, "the manifest was not accepted");
  // Until it is in force at the entry machines.
  for (size_t Entry = 0; Entry < Setup.Entries.size(); ++Entry)
    for (int I = 0;; ++I) {
      if (requestOf(Entry, "GET", "/yard/", {}, 1000).Status == 200)
        break;
      if (I == 50)
        finish(2, "an entry machine does not serve");
      sleepMs(200);
    }
}

/// The number of the leader among the control machines.
static size_t leader() {
  // Only to choose which process a case stops; no case judges by it.
  for (int I = 0; I < 100; ++I) {
    for (size_t N = 0; N < Setup.Control.size(); ++N) {
      std::string Metrics =
          Setup.Control[N].substr(0, Setup.Control[N].find(':')) + ":9464";
      Response Answer = call(Metrics, "GET", "/metrics", "", 500);
      size_t At = Answer.Body.find("\nmimosashunt_leads ");
      if (At != std::string::npos && Answer.Body[At + 19] == '1')
        return N;
    }
    sleepMs(100);
  }
  finish(2, "no leader");
}

static std::vector<std::unique_ptr<Worker>> Workers;

static Worker &addWorker(int Number, const std::string &Kind = "a",
                         int64_t Cpu = 8000) {
  Worker::Options Given;
  Given.Id = "i-" + std::to_string(Number);
  Given.Pool = "yard";
  Given.Machine = "m-" + std::to_string(Number);
  Given.Address = ip(100 + Number) + ":8080";
  Given.Kind = Kind;
  Given.Rack = "r" + std::to_string(Number / 4);
  Given.Cpu = Cpu;
  Workers.push_back(std::make_unique<Worker>(Given));
  return *Workers.back();
}

static void startWorkers() {
  for (const auto &Each : Workers)
    if (!Each->start())
      finish(2, "a worker's address is taken");
}

static const char *const WarmUpJob = "00000000000000aa";

/// Until work runs: a short submission has been completed.
static void warmUp() {
  submit(WarmUpJob, {{"spec", "200 100"}, {"steps", {step(1, 100, 200)}}});
  for (int I = 0; I < 60; ++I) {
    if (stateOf(0, WarmUpJob) == "completed")
      return;
    sleepMs(250);
  }
  finish(2, "the fleet does not run work");
}

#include "scenarios-3.inc"

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  std::map<std::string, std::string> Given;
  for (int I = 1; I < Count; ++I) {
    std::string Text = Arguments[I];
    size_t Equals = Text.find('=');
    Given[Text.substr(0, Equals)] = Text.substr(Equals + 1);
  }
  auto Split = [](const std::string &Text) {
    std::vector<std::string> Result;
    std::istringstream In(Text);
    std::string Part;
    while (std::getline(In, Part, ','))
      Result.push_back(Part);
    return Result;
  };
  Setup.Control = Split(Given["control"]);
  Setup.Entries = Split(Given["entries"]);
  for (const std::string &Pid : Split(Given["control_pids"]))
    Setup.ControlPids.push_back(std::stoi(Pid));
  for (const std::string &Pid : Split(Given["entry_pids"]))
    Setup.EntryPids.push_back(std::stoi(Pid));
  Setup.Net = Given["net"];
  Setup.PidFolder = Given["pid_folder"];
  Setup.Trouble = Given["trouble"] != "0";
  RecordFile.open(Given["record"]);
  record("scenario " + Given["scenario"] +
         (Setup.Trouble ? "" : ", without the disruption"));
  std::thread([] {
    sleepMs(105000);
    finish(2, "the scenario took too long");
  }).detach();
  runScenario(Given["scenario"]);
  finish(2, "no such scenario");
}
