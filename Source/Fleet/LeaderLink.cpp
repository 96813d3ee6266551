#include "Fleet/LeaderLink.h"

#include "Jobs/JobCommands.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

constexpr int Ok = 200;
constexpr Duration SyncPeriod = milliseconds(250);
constexpr Duration SyncTimeout = milliseconds(500);
/// What is older than this may have been changed by a group that this VM does
/// not reach.
constexpr Duration SyncValid = milliseconds(1500);
constexpr int MaxRedirects = 2;
/// Control VMs may name each other while they elect a leader; more hints than
/// this wait for the next tick.
constexpr int MaxHintsPerTick = 2;
/// The longest configuration takes about 1 s over an entry VM's link.
constexpr Duration FetchTimeout = milliseconds(2500);
/// Changes must be in force within 2 s of their acknowledgement.
constexpr Duration BehindLimit = milliseconds(1500);

} // namespace

LeaderLink::LeaderLink(EventLoop &Loop, std::string Vm,
                       std::vector<std::string> Seeds,
                       const ConfigurationReader &Reader, EventLog &Events)
    : Loop(Loop), Client(Loop, {.IdleTimeout = seconds(20)}), Vm(std::move(Vm)),
      Seeds(std::move(Seeds)), Reader(Reader), Events(Events) {
  SyncTimer = Loop.timers().scheduleEvery(SyncPeriod, [this] {
    HintsFollowed = 0;
    sync();
  });
}

LeaderLink::~LeaderLink() { Loop.timers().cancel(SyncTimer); }

bool LeaderLink::inTouch() const {
  Instant Now = Loop.timers().now();
  bool Behind = BehindSince && Now - *BehindSince >= BehindLimit;
  return EverSynced && Now - SyncedAt < SyncValid && !Behind &&
         Configuration.Version > 0;
}

uint64_t LeaderLink::pendingOf(const std::string &Queue) const {
  auto Found = Pending.find(Queue);
  return Found == Pending.end() ? 0 : Found->second;
}

void LeaderLink::seeds(std::vector<std::string> Addresses) {
  Seeds = std::move(Addresses);
}

void LeaderLink::nextCandidate() {
  std::vector<std::string> All = Members;
  for (const std::string &Seed : Seeds)
    if (std::find(All.begin(), All.end(), Seed) == All.end())
      All.push_back(Seed);
  Candidate = All[NextSeed++ % All.size()];
}

void LeaderLink::sync() {
  if (SyncUnderWay)
    return;
  if (Candidate.empty())
    nextCandidate();
  SocketAddress Target;
  if (SocketAddress::parse(Candidate, Target)) {
    Candidate.clear();
    return;
  }
  SyncUnderWay = true;
  SyncRequest Asked{Vm};
  Instant SentAt = Loop.timers().now();
  Client.send(Target, internalRequest(internal_path::Sync, toCbor(Asked)),
              SyncTimeout,
              [this, Address = Candidate, SentAt](const HttpResult &Result) {
                SyncUnderWay = false;
                synced(Address, Result);
                if (Leader == Address && !Leader.empty())
                  SyncedAt = std::max(SyncedAt, SentAt);
              });
}

void LeaderLink::synced(const std::string &Asked, const HttpResult &Result) {
  const auto *Response = std::get_if<HttpResponse>(&Result);
  SyncReply Reply;
  if (Response == nullptr || Response->Status != Ok ||
      !fromCbor(Response->Body, Reply)) {
    if (Leader == Asked) {
      Events.note("leader_lost", {{"leader", Asked}});
      Leader.clear();
    }
    return nextCandidate();
  }
  if (!Reply.Members.empty())
    Members = Reply.Members;
  if (!Reply.Leads) {
    if (Leader == Asked)
      Leader.clear();
    return followHint(Reply, Asked);
  }
  if (Leader != Asked)
    Events.note("leader_found", {{"leader", Asked}});
  Leader = Candidate = Asked;
  Pending = std::move(Reply.Pending);
  EverSynced = true;
  fetch(Reply.Version);
}

void LeaderLink::followHint(const SyncReply &Reply, const std::string &Asked) {
  bool Hint = !Reply.Leader.empty() && Reply.Leader != Asked;
  if (!Hint)
    return nextCandidate();
  Candidate = Reply.Leader;
  if (HintsFollowed++ < MaxHintsPerTick)
    sync();
}

void LeaderLink::fetch(uint64_t Newest) {
  if (Newest <= Configuration.Version) {
    BehindSince.reset();
    return;
  }
  if (!BehindSince)
    BehindSince = Loop.timers().now();
  SocketAddress Target;
  if (FetchUnderWay || SocketAddress::parse(Leader, Target))
    return;
  FetchUnderWay = true;
  Client.send(
      Target,
      internalRequest(internal_path::Configuration, toCbor(SyncRequest{Vm})),
      FetchTimeout, [this](const HttpResult &Result) {
        FetchUnderWay = false;
        fetched(Result);
      });
}

void LeaderLink::fetched(const HttpResult &Result) {
  const auto *Response = std::get_if<HttpResponse>(&Result);
  ConfigurationReply Reply;
  std::string Text;
  if (Response == nullptr || Response->Status != Ok ||
      !fromCbor(Response->Body, Reply) || !unpack(Reply.Text, Text)) {
    // The next sync asks again.
    Events.note("configuration_not_fetched", {{"leader", Leader}});
    return;
  }
  if (Reply.Version <= Configuration.Version)
    return;
  ServiceConfiguration Next;
  if (auto Fault = Reader.read(Text, Next)) {
    Events.note("configuration_unreadable",
                {{"version", Reply.Version}, {"fault", *Fault}});
    return;
  }
  Configuration = std::move(Next);
  BehindSince.reset();
  Events.note("configuration_in_force",
              {{"version", Configuration.Version}, {"bytes", Text.size()}});
}

void LeaderLink::call(const JobRequest &Call, Duration Timeout, Answer Done) {
  if (Leader.empty())
    return Done({CallOutcome::NotRun, JobState::Queued, RetrySoonMs, {}});
  callAt(Leader, toCbor(Call), Loop.timers().now() + Timeout, MaxRedirects,
         std::move(Done));
}

void LeaderLink::callAt(const std::string &Address, const std::string &Body,
                        Instant Until, int Redirects, Answer Done) {
  SocketAddress Target;
  Duration Left = Until - Loop.timers().now();
  if (SocketAddress::parse(Address, Target) || Left <= Duration::zero())
    return Done({CallOutcome::NotRun, JobState::Queued, RetrySoonMs, {}});
  Client.send(
      Target, internalRequest(internal_path::Call, Body), Left,
      [this, Address, Body, Until, Redirects,
       Done = std::move(Done)](const HttpResult &Result) mutable {
        JobResponse Back;
        if (std::holds_alternative<HttpNotSent>(Result)) {
          if (Leader == Address)
            Leader.clear();
          return Done({CallOutcome::NotRun, JobState::Queued, RetrySoonMs, {}});
        }
        const auto *Response = std::get_if<HttpResponse>(&Result);
        if (Response == nullptr || Response->Status != Ok ||
            !fromCbor(Response->Body, Back))
          return Done({CallOutcome::Uncertain, JobState::Queued, 0, {}});
        if (Back.Outcome != CallOutcome::NotLeader)
          return Done(Back);
        if (Leader == Address)
          Leader.clear();
        bool Other = !Back.Leader.empty() && Back.Leader != Address;
        if (Other && Redirects > 0)
          return callAt(Back.Leader, Body, Until, Redirects - 1,
                        std::move(Done));
        Done({CallOutcome::NotRun, JobState::Queued, RetrySoonMs, {}});
      });
}

} // namespace mimosashunt
