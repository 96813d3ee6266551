// Stand-ins for the second review: one worker ("minion"), the platform
// ("provider"), and single HTTP calls of callers and the operator. They speak
// what PROTOCOL.md says. Every process appends what it was sent and what it ran
// to the record file, one line an event.
//
//   standin-2 worker --id= --listen=IP:PORT --service= --machine= --zone=
//             --rack= --control=A,B,C --record=FILE
//   standin-2 platform --listen=IP:PORT --service= --machines=M1=IP:PORT,...
//             --record=FILE
//   standin-2 advice --listen=IP:PORT --decide-ms= --each-ms= --valid-ms=
//             --record=FILE
//   standin-2 call METHOD IP:PORT PATH [HOST [KEY [BODY]]]
//   standin-2 load --to=IP:PORT --host= --prefix= --key= --first=N --count=N
//             --rate=N --seconds=N --spec-bytes=N --accepted=FILE [--spec=TEXT]
//     posts submissions of one small task and prints how many were accepted;
//     each is sent again, with the same ID, four times at most, until it is
//     answered with 2xx, and then stands in the file
//
// A task's "spec" says what it does: "ms=N" for N ms of work, "save" if it
// saves its progress every 500 ms, "fail=N" if it fails N ms after its start. A
// long-running task has "ms=0".

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <vector>

using Json = nlohmann::json;
using namespace std::chrono;

static int RecordFile = -1;
static std::string Name = "standin";

static int64_t wallMs() {
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
      .count();
}
static int64_t steadyMs() {
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
      .count();
}
static void record(const std::string &Text) {
  if (RecordFile < 0)
    return;
  std::string Line =
      std::to_string(wallMs()) + " " + Name + " " + Text + "\n";
  if (write(RecordFile, Line.data(), Line.size()) < 0)
    perror("record");
}

struct Request {
  std::string Method, Path, Body;
  std::map<std::string, std::string> Headers;
};
struct Response {
  int Status = 200;
  std::string Body;
};

static sockaddr_in parseAddress(const std::string &Text) {
  sockaddr_in Address{};
  size_t Colon = Text.find(':');
  Address.sin_family = AF_INET;
  inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Address.sin_addr);
  Address.sin_port =
      htons(static_cast<uint16_t>(std::stoi(Text.substr(Colon + 1))));
  return Address;
}

// Reads one message, whose first line goes to First. Returns false at the end.
static bool readMessage(int Socket, std::string &Buffer, std::string &First,
                        std::map<std::string, std::string> &Headers,
                        std::string &Body) {
  char Chunk[65536];
  size_t End;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos) {
    ssize_t Got = recv(Socket, Chunk, sizeof(Chunk), 0);
    if (Got <= 0)
      return false;
    Buffer.append(Chunk, static_cast<size_t>(Got));
  }
  Headers.clear();
  size_t Line = Buffer.find("\r\n");
  First = Buffer.substr(0, Line);
  while (Line < End) {
    size_t Start = Line + 2;
    Line = Buffer.find("\r\n", Start);
    std::string Text = Buffer.substr(Start, Line - Start);
    size_t Colon = Text.find(':');
    if (Colon == std::string::npos)
      continue;
    std::string Key = Text.substr(0, Colon);
    std::transform(Key.begin(), Key.end(), Key.begin(), ::tolower);
    size_t Value = Text.find_first_not_of(' ', Colon + 1);
    Headers[Key] = Value == std::string::npos ? "" : Text.substr(Value);
  }
  size_t Length = Headers.count("content-length")
                      ? std::stoul(Headers["content-length"])
                      : 0;
  while (Buffer.size() < End + 4 + Length) {
    ssize_t Got = recv(Socket, Chunk, sizeof(Chunk), 0);
    if (Got <= 0)
      return false;
    Buffer.append(Chunk, static_cast<size_t>(Got));
  }
  Body = Buffer.substr(End + 4, Length);
  Buffer.erase(0, End + 4 + Length);
  return true;
}

static bool sendAll(int Socket, const std::string &Text) {
  size_t Sent = 0;
  while (Sent < Text.size()) {
    ssize_t Count =
        send(Socket, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<size_t>(Count);
  }
  return true;
}

static void serve(const std::string &Listen,
                  std::function<Response(const Request &)> Handle) {
  int Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = parseAddress(Listen);
  if (bind(Listener, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) ||
      listen(Listener, 256)) {
    perror("listen");
    exit(2);
  }
  for (;;) {
    int Socket = accept(Listener, nullptr, nullptr);
    if (Socket < 0)
      continue;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    std::thread([Socket, Handle] {
      std::string Buffer, First;
      Request Got;
      while (readMessage(Socket, Buffer, First, Got.Headers, Got.Body)) {
        size_t Space = First.find(' ');
        Got.Method = First.substr(0, Space);
        Got.Path = First.substr(Space + 1, First.rfind(' ') - Space - 1);
        Response Answer = Handle(Got);
        std::string Head = "HTTP/1.1 " + std::to_string(Answer.Status) +
                           " -\r\ncontent-type: application/json\r\n"
                           "content-length: " +
                           std::to_string(Answer.Body.size()) + "\r\n\r\n";
        if (!sendAll(Socket, Head + Answer.Body))
          break;
      }
      close(Socket);
    }).detach();
  }
}

// Sends one request. Returns status 0 if no whole answer came in time.
static Response call(const std::string &To, const std::string &Method,
                     const std::string &Path, const std::string &Host,
                     const std::string &Key, const std::string &Body,
                     int TimeoutMs) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval Limit{TimeoutMs / 1000, (TimeoutMs % 1000) * 1000};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  sockaddr_in Address = parseAddress(To);
  Response Answer;
  Answer.Status = 0;
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address),
              sizeof(Address)) == 0) {
    std::string Text = Method + " " + Path + " HTTP/1.1\r\nhost: " +
                       (Host.empty() ? To : Host) + "\r\n";
    if (!Key.empty())
      Text += "authorization: Bearer " + Key + "\r\n";
    if (!Body.empty() || Method == "POST")
      Text += "content-type: application/json\r\ncontent-length: " +
              std::to_string(Body.size()) + "\r\n";
    Text += "mimosashunt-deadline-ms: " + std::to_string(TimeoutMs) +
            "\r\n\r\n" + Body;
    std::string Buffer, First;
    std::map<std::string, std::string> Headers;
    if (sendAll(Socket, Text) &&
        readMessage(Socket, Buffer, First, Headers, Answer.Body))
      Answer.Status = std::stoi(First.substr(9, 3));
  }
  close(Socket);
  return Answer;
}

static std::vector<std::string> split(const std::string &Text, char At) {
  std::vector<std::string> Result;
  size_t Start = 0;
  while (Start <= Text.size() && !Text.empty()) {
    size_t End = std::min(Text.find(At, Start), Text.size());
    Result.push_back(Text.substr(Start, End - Start));
    Start = End + 1;
  }
  return Result;
}

// ---------------------------------------------------------------- the worker

struct WorkerRun {
  int64_t Attempt = 0;
  int64_t StartedAt = 0; // By the worker's clock.
  int64_t WorkMs = 0;    // Zero: lasts.
  int64_t DoneBefore = 0;
  bool Saves = false;
  int64_t FailsAfterMs = 0; // Zero: it does not fail.
  int64_t Cpu = 0;
};

class Worker {
public:
  std::map<std::string, std::string> Options;
  static constexpr int64_t HoldMaxMs = 6000;

  void run() {
    Id = Options["id"];
    Born = wallMs();
    ClockBase = steadyMs() - 1000;
    record("born " + std::to_string(Born));
    std::thread([this] { beat(); }).detach();
    std::thread([this] { tick(); }).detach();
    serve(Options["listen"],
          [this](const Request &Got) { return handle(Got); });
  }

private:
  int64_t clock() const { return steadyMs() - ClockBase; }

  void beat() {
    std::vector<std::string> Control = split(Options["control"], ',');
    size_t Next = 0;
    for (;;) {
      Json Body;
      std::string Path;
      {
        std::lock_guard<std::mutex> Lock(Mutex);
        Body = {{"service", Options["service"]},
                {"address", Options["listen"]},
                {"zone", Options["zone"]},
                {"machine", Options["machine"]},
                {"version", "v1"},
                {"capacity", 8},
                {"state", "ready"},
                {"cold-remaining-ms", 0},
                {"capacity-free",
                 {{"cpu", 32000}, {"mem-mb", 65536}, {"gpu", 0}}},
                {"labels", {"a", Options["rack"]}},
                {"clock-ms", clock()},
                {"born", Born},
                {"sequence", ++Sequence}};
        Path = "/mimosashunt/instances/" + Id + "/heartbeat";
      }
      for (size_t Try = 0; Try < Control.size(); ++Try) {
        Response Answer = call(Control[Next % Control.size()], "POST", Path, "",
                               "", Body.dump(), 1000);
        if (Answer.Status / 100 == 2)
          break;
        ++Next;
      }
      std::this_thread::sleep_for(milliseconds(1500));
    }
  }

  int64_t doneMs(const WorkerRun &Run) const {
    return Run.DoneBefore + clock() - Run.StartedAt;
  }
  std::string saved(const WorkerRun &Run) const {
    int64_t Whole = doneMs(Run) / 500 * 500;
    return Run.Saves && Whole > 0 ? "p" + std::to_string(Whole) : "";
  }

  void end(const std::string &Task, const char *How) {
    WorkerRun Run = Runs[Task];
    Runs.erase(Task);
    Highest[Task] = std::max(Highest[Task], Run.Attempt);
    Ends.push_back({++LastEnd, Task, Run.Attempt, How, saved(Run)});
    record("end " + Task + " attempt " + std::to_string(Run.Attempt) + " " +
           How);
    Changed.notify_all();
  }

  void tick() {
    for (;;) {
      std::this_thread::sleep_for(milliseconds(10));
      std::lock_guard<std::mutex> Lock(Mutex);
      std::vector<std::string> Done, Lapsed, Failed;
      for (const auto &[Task, Run] : Runs)
        if (clock() >= Until)
          Lapsed.push_back(Task);
        else if (Run.FailsAfterMs > 0 && doneMs(Run) >= Run.FailsAfterMs)
          Failed.push_back(Task);
        else if (Run.WorkMs > 0 && doneMs(Run) >= Run.WorkMs)
          Done.push_back(Task);
      for (const std::string &Task : Lapsed)
        end(Task, "lapsed");
      for (const std::string &Task : Failed)
        end(Task, "failed");
      for (const std::string &Task : Done)
        end(Task, "done");
    }
  }

  Response answer(int Status, Json Body) {
    Body["clock-ms"] = clock();
    Body["born"] = Born;
    return {Status, Body.dump()};
  }
  Response refuse(const char *Reason) {
    return answer(409, {{"reason", Reason}});
  }

  Response handle(const Request &Got) {
    if (Got.Path == "/health")
      return {200, ""};
    if (Got.Path == "/test/new-life")
      return newLife();
    auto Expected = Got.Headers.find("mimosashunt-expect-instance");
    Json In = Json::parse(Got.Body, nullptr, false);
    std::unique_lock<std::mutex> Lock(Mutex);
    if (Expected != Got.Headers.end() && Expected->second != Id)
      return answer(421, Json::object());
    if (!In.is_object())
      return answer(400, Json::object());
    int64_t Token = In.value("fencing-token", int64_t(0));
    if (Token < HighestToken)
      return refuse("fence");
    HighestToken = Token;
    if (Got.Path == "/mimosashunt/hold")
      return hold(In, Lock);
    if (Got.Path == "/mimosashunt/run-start")
      return start(In);
    if (Got.Path == "/mimosashunt/run-stop")
      return stop(In);
    if (Got.Path == "/mimosashunt/pace")
      return answer(200, Json::object());
    return answer(404, Json::object());
  }

  void extend(const Json &In) {
    if (In.contains("until-ms"))
      Until = std::max(Until, std::min(In["until-ms"].get<int64_t>(),
                                       clock() + HoldMaxMs));
  }

  Response hold(const Json &In, std::unique_lock<std::mutex> &Lock) {
    extend(In);
    int64_t Cursor = In.value("ack-cursor", int64_t(0));
    std::erase_if(Ends, [&](const Json &Row) {
      return Row[0].get<int64_t>() <= Cursor;
    });
    int64_t Wait = std::min<int64_t>(In.value("wait-ms", int64_t(0)), 2000);
    if (Wait > 0)
      Changed.wait_for(Lock, milliseconds(Wait),
                       [this] { return !Ends.empty(); });
    Json Running = Json::array();
    for (const auto &[Task, Run] : Runs) {
      int64_t Percent =
          Run.WorkMs > 0 ? std::min<int64_t>(99, doneMs(Run) * 100 / Run.WorkMs)
                         : (doneMs(Run) > 300 ? 100 : 0);
      Running.push_back({Task, Run.Attempt, saved(Run), Percent, Run.Cpu});
    }
    Json Finished = Json::array();
    for (const Json &Row : Ends)
      Finished.push_back(Row);
    return answer(200, {{"running", Running}, {"finished", Finished}});
  }

  Response start(const Json &In) {
    std::string Task = In.at("task");
    int64_t Attempt = In.at("attempt");
    auto Found = Runs.find(Task);
    if (Found != Runs.end() && Found->second.Attempt == Attempt) {
      extend(In);
      return answer(200, Json::object());
    }
    if (In.at("until-ms").get<int64_t>() <= clock())
      return refuse("late");
    extend(In);
    if (Found != Runs.end() || Attempt <= Highest[Task])
      return refuse("old");
    WorkerRun Run;
    std::string Spec = In.at("spec");
    size_t At = Spec.find("ms=");
    Run.WorkMs = At == std::string::npos ? 200 : std::stoll(Spec.substr(At + 3));
    At = Spec.find("fail=");
    if (At != std::string::npos)
      Run.FailsAfterMs = std::stoll(Spec.substr(At + 5));
    Run.Saves = Spec.find("save") != std::string::npos;
    Run.Attempt = Attempt;
    Run.StartedAt = clock();
    std::string Checkpoint = In.value("checkpoint", "");
    if (Checkpoint.size() > 1)
      Run.DoneBefore = std::stoll(Checkpoint.substr(1));
    record("start " + Task + " attempt " + std::to_string(Attempt) + " from '" +
           Checkpoint + "' token " + std::to_string(HighestToken));
    Runs[Task] = Run;
    return answer(200, Json::object());
  }

  Response stop(const Json &In) {
    std::string Task = In.at("task");
    int64_t Attempt = In.at("attempt");
    Highest[Task] = std::max(Highest[Task], Attempt);
    auto Found = Runs.find(Task);
    if (Found == Runs.end() || Found->second.Attempt > Attempt)
      return refuse("old");
    record("stop " + Task + " attempt " + std::to_string(Attempt));
    end(Task, "stopped");
    return answer(200, Json::object());
  }

  // The machine comes back from upkeep with a new minion.
  Response newLife() {
    std::lock_guard<std::mutex> Lock(Mutex);
    record("ends, with " + std::to_string(Runs.size()) + " runs");
    Id = Options["id"] + "-" + std::to_string(++Lives);
    Born = wallMs();
    ClockBase = steadyMs() - 1000;
    Runs.clear();
    Ends.clear();
    Highest.clear();
    LastEnd = Sequence = HighestToken = Until = 0;
    record("born " + std::to_string(Born) + " as " + Id);
    Changed.notify_all();
    return {200, ""};
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::string Id;
  int64_t Born = 0, ClockBase = 0, Sequence = 0, HighestToken = 0, Until = 0;
  int64_t LastEnd = 0;
  int Lives = 0;
  std::map<std::string, WorkerRun> Runs;
  std::map<std::string, int64_t> Highest; // Attempts stopped or ended.
  std::vector<Json> Ends;
};

// -------------------------------------------------------------- the platform

class Platform {
public:
  std::map<std::string, std::string> Options;

  void run() {
    for (const std::string &Item : split(Options["machines"], ',')) {
      size_t At = Item.find('=');
      Machines[Item.substr(0, At)] = {Item.substr(At + 1), "up", {}, {}, 0};
    }
    std::thread([this] { tick(); }).detach();
    serve(Options["listen"],
          [this](const Request &Got) { return handle(Got); });
  }

private:
  struct Machine {
    std::string Worker;
    std::string State;
    std::set<int64_t> DoneWaves;
    std::map<std::string, int64_t> Tokens;
    int64_t BackAt = 0;
  };

  Response handle(const Request &Got) {
    std::unique_lock<std::mutex> Lock(Mutex);
    if (Got.Path.rfind("/mimosashunt/machines", 0) == 0)
      return list();
    if (Got.Path.rfind("/test/late/", 0) == 0) {
      // The next upkeep order for this machine gets no answer and is carried
      // out this many milliseconds later.
      std::vector<std::string> Parts = split(Got.Path, '/');
      Late[Parts[3]] = std::stoi(Parts[4]);
      return {200, ""};
    }
    if (Got.Path.rfind("/test/foreign/", 0) == 0) {
      // How often the entry of this machine comes from another writer.
      std::vector<std::string> Parts = split(Got.Path, '/');
      Foreign[Parts[3]] = std::stoi(Parts[4]);
      record("from now on the entry of " + Parts[3] + " is foreign " +
             Parts[4] + " times");
      return {200, ""};
    }
    Json In = Json::parse(Got.Body, nullptr, false);
    bool IsUpkeep = Got.Path == "/mimosashunt/machine-upkeep";
    bool IsMove = Got.Path == "/mimosashunt/machine-move";
    if (!In.is_object() || (!IsUpkeep && !IsMove))
      return {400, "{}"};
    auto Found = Machines.find(In.value("machine", ""));
    if (Found == Machines.end() || IsMove)
      return {400, "{}"};
    Machine &At = Found->second;
    if (int Delay = std::exchange(Late[Found->first], 0)) {
      record("an upkeep order for " + Found->first + " with token " +
             Got.Headers.at("mimosashunt-fencing-token") + " of " +
             Got.Headers.at("mimosashunt-duty-holder") +
             " gets no answer and is carried out later");
      Lock.unlock();
      std::this_thread::sleep_for(milliseconds(Delay));
      Lock.lock();
    }
    int64_t Token =
        std::atoll(Got.Headers.at("mimosashunt-fencing-token").c_str());
    if (Token < At.Tokens["token"])
      return {409, R"({"reason":"fence"})"};
    At.Tokens["token"] = Token;
    int64_t Wave = In.value("wave", int64_t(0));
    if (At.DoneWaves.count(Wave))
      return {200, "{}"};
    if (At.State != "up")
      return {409, R"({"reason":"busy"})"};
    int Down = 0;
    for (const auto &[Other, Item] : Machines)
      Down += Item.State == "upkeep" ? 1 : 0;
    record("upkeep of " + Found->first + " begins, wave " +
           std::to_string(Wave) + ", token " + std::to_string(Token) + " of " +
           Got.Headers.at("mimosashunt-duty-holder") + ", while " +
           std::to_string(Down) + " are down for theirs");
    At.DoneWaves.insert(Wave);
    At.State = "upkeep";
    At.BackAt = steadyMs() + 2000;
    call(At.Worker, "POST", "/test/new-life", "", "", "", 1000);
    return {200, "{}"};
  }

  Response list() {
    Json Entries = Json::array();
    std::string Text;
    for (auto &[Name, At] : Machines) {
      Json Entry = {{"machine", Name},
                    {"pool", Options["service"]},
                    {"state", At.State},
                    {"zone", "z-a"},
                    {"labels", {"a", "r1"}},
                    {"capacity-free",
                     {{"cpu", 32000}, {"mem-mb", 65536}, {"gpu", 0}}},
                    {"id", ""}};
      if (Foreign[Name] > 0) {
        --Foreign[Name];
        // "fields missing or of another type"
        Entry["pool"] = 7;
        record("the list has a foreign entry for " + Name);
      }
      Entries.push_back(Entry);
    }
    return {200, Json{{"machines", Entries}, {"next-token", ""}}.dump()};
  }

  void tick() {
    for (;;) {
      std::this_thread::sleep_for(milliseconds(20));
      std::lock_guard<std::mutex> Lock(Mutex);
      for (auto &[Name, At] : Machines)
        if (At.State == "upkeep" && steadyMs() >= At.BackAt) {
          At.State = "up";
          record("upkeep of " + Name + " is over");
        }
    }
  }

  std::mutex Mutex;
  std::map<std::string, Machine> Machines;
  std::map<std::string, int> Foreign, Late;
};

// ---------------------------------------------------------------- the advice

// Grants every minion. "It responds after decide-ms plus each-ms for each worker
// named", "handles one call at a time for each calling machine, in turn"; "When
// 32 calls are waiting, it returns 429". Only the leader calls.
static void advise(std::map<std::string, std::string> &Options) {
  int Decide = std::stoi(Options["decide-ms"]);
  int Each = std::stoi(Options["each-ms"]);
  static std::mutex Mutex;
  static std::condition_variable Turn;
  static uint64_t Next = 0, Serving = 0;
  serve(Options["listen"], [=, &Options](const Request &Got) -> Response {
    Json In = Json::parse(Got.Body, nullptr, false);
    if (Got.Path != "/mimosashunt/advise" || !In.is_object())
      return {400, "{}"};
    std::string Step = In.at("step");
    int Workers = static_cast<int>(In.at("workers").size());
    std::unique_lock<std::mutex> Lock(Mutex);
    if (Next - Serving > 32)
      return {429, "{}"};
    uint64_t Own = Next++;
    record("is asked for " + Step + " about " + std::to_string(Workers) +
           " minions");
    Turn.wait(Lock, [&] { return Serving == Own; });
    Lock.unlock();
    std::this_thread::sleep_for(milliseconds(Decide + Each * Workers));
    Lock.lock();
    ++Serving;
    Turn.notify_all();
    record("answers for " + Step);
    Json Granted = Json::array();
    for (const Json &Id : In.at("workers"))
      Granted.push_back({Id, Step + "-" + Id.get<std::string>()});
    return {200, Json{{"granted", Granted},
                      {"valid-ms", std::stoi(Options["valid-ms"])}}
                     .dump()};
  });
}

// ----------------------------------------------------------- many requesters

static int load(std::map<std::string, std::string> &Options) {
  int First = std::stoi(Options["first"]), Count = std::stoi(Options["count"]);
  double Rate = std::stod(Options["rate"]);
  std::string Spec = Options.count("spec") ? Options["spec"] : "ms=20";
  size_t Bytes = std::stoul(Options["spec-bytes"]);
  if (Spec.size() < Bytes)
    Spec += " " + std::string(Bytes - Spec.size() - 1, 'x');
  Json Body = {{"spec", Spec},
               {"steps", {{{"count", 1}, {"cpu", 500}, {"mem-mb", 256}, {"estimate-ms", 20}}}}};
  std::string Text = Body.dump();
  std::mutex Mutex;
  int Next = 0, Accepted = 0, Given = 0;
  auto Began = steady_clock::now();
  int64_t Last = steadyMs() + std::stoll(Options["seconds"]) * 1000;
  FILE *Log = fopen(Options["accepted"].c_str(), "w");
  auto Send = [&] {
    while (steadyMs() < Last) {
      int Mine;
      {
        std::lock_guard<std::mutex> Lock(Mutex);
        if (Next >= Count)
          return;
        Mine = Next++;
      }
      std::this_thread::sleep_until(Began + duration_cast<steady_clock::duration>(duration<double>(Mine / Rate)));
      char Id[17];
      snprintf(Id, sizeof(Id), "%016x", First + Mine);
      bool IsAccepted = false;
      for (int Try = 0; Try < 5 && !IsAccepted && steadyMs() < Last; ++Try) {
        if (Try > 0)
          std::this_thread::sleep_for(milliseconds(1000));
        IsAccepted = call(Options["to"], "POST", Options["prefix"] + Id, Options["host"], Options["key"], Text, 3000).Status / 100 == 2;
      }
      std::lock_guard<std::mutex> Lock(Mutex);
      ++(IsAccepted ? Accepted : Given);
      if (IsAccepted)
        fprintf(Log, "%s\n", Id);
    }
  };
  std::vector<std::thread> Threads;
  for (int I = 0; I < 32; ++I)
    Threads.emplace_back(Send);
  for (std::thread &Each : Threads)
    Each.join();
  fclose(Log);
  printf("%d accepted, %d not, %lld ms\n", Accepted, Given, static_cast<long long>(duration_cast<milliseconds>(steady_clock::now() - Began).count()));
  return 0;
}

int main(int Count, char **Arguments) {
  signal(SIGPIPE, SIG_IGN);
  std::string Role = Count > 1 ? Arguments[1] : "";
  if (Role == "call" && Count >= 5) {
    auto At = [&](int I) { return Count > I ? Arguments[I] : ""; };
    std::string Body = At(7);
    if (Body == "-") {
      Body.clear();
      char Chunk[65536];
      size_t Got;
      while ((Got = fread(Chunk, 1, sizeof(Chunk), stdin)) > 0)
        Body.append(Chunk, Got);
    }
    Response Answer = call(Arguments[3], Arguments[2], Arguments[4], At(5),
                           At(6), Body, 3000);
    printf("%d %s\n", Answer.Status, Answer.Body.c_str());
    return 0;
  }
  std::map<std::string, std::string> Options;
  for (int I = 2; I < Count; ++I) {
    std::string Text = Arguments[I];
    size_t Equals = Text.find('=');
    if (Text.rfind("--", 0) == 0 && Equals != std::string::npos)
      Options[Text.substr(2, Equals - 2)] = Text.substr(Equals + 1);
  }
  if (!Options["record"].empty())
    RecordFile = open(Options["record"].c_str(),
                      O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
  if (Role == "advice") {
    Name = "advice";
    advise(Options);
  }
  if (Role == "load")
    return load(Options);
  if (Role == "worker") {
    Name = Options["id"];
    static Worker Self;
    Self.Options = Options;
    Self.run();
  }
  if (Role == "platform") {
    Name = "platform";
    static Platform Self;
    Self.Options = Options;
    Self.run();
  }
  fprintf(stderr, "standin-2 worker|platform|call ...\n");
  return 2;
}
