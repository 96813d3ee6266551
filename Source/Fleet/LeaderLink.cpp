#include "Fleet/LeaderLink.h"

#include "Jobs/JobCommands.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

constexpr int Ok = 200;
constexpr Duration SyncInterval = milliseconds(250);
constexpr Duration SyncTimeout = milliseconds(500);
/// State that was synced longer ago may be outdated: control VMs that this VM
/// does not reach may have changed it.
constexpr Duration SyncValidity = milliseconds(1500);
constexpr int MaxRedirects = 2;
/// Control VMs may name each other as leader during an election. Further hints
/// are followed at the next tick, so that syncs do not loop between them.
constexpr int MaxHintsPerTick = 2;
/// The transfer of the largest configuration takes about 1 s over an entry VM's
/// link.
constexpr Duration FetchTimeout = milliseconds(2500);
/// Below the 2 s within which a change must be in force after it is
/// acknowledged.
constexpr Duration MaxConfigurationLag = milliseconds(1500);

} // namespace

LeaderLink::LeaderLink(EventLoop &Loop, std::string Vm,
                       std::vector<std::string> Seeds,
                       const ConfigurationReader &Reader, EventLog &Events)
    : Loop(Loop), Client(Loop, {.IdleTimeout = seconds(20)}), Vm(std::move(Vm)),
      Seeds(std::move(Seeds)), Reader(Reader), Events(Events) {
  SyncTimer = Loop.timers().scheduleEvery(SyncInterval, [this] {
    HintsFollowed = 0;
    sync();
  });
}

LeaderLink::~LeaderLink() { Loop.timers().cancel(SyncTimer); }

bool LeaderLink::isUpToDate() const {
  Instant Now = Loop.timers().now();
  bool IsOutdated =
      OutdatedSince && Now - *OutdatedSince >= MaxConfigurationLag;
  return HasSynced && Now - SyncedAt < SyncValidity && !IsOutdated &&
         Configuration.Version > 0;
}

uint64_t LeaderLink::pendingJobs(const std::string &Queue) const {
  auto Entry = PendingJobs.find(Queue);
  return Entry == PendingJobs.end() ? 0 : Entry->second;
}

void LeaderLink::setSeeds(std::vector<std::string> Addresses) {
  Seeds = std::move(Addresses);
}

void LeaderLink::selectNextCandidate() {
  std::vector<std::string> Candidates = MemberAddresses;
  for (const std::string &Seed : Seeds)
    if (std::find(Candidates.begin(), Candidates.end(), Seed) ==
        Candidates.end())
      Candidates.push_back(Seed);
  Candidate = Candidates[NextCandidateIndex++ % Candidates.size()];
}

void LeaderLink::sync() {
  if (SyncInFlight)
    return;
  if (Candidate.empty())
    selectNextCandidate();
  SocketAddress Target;
  if (SocketAddress::parse(Candidate, Target)) {
    Candidate.clear();
    return;
  }
  SyncInFlight = true;
  SyncRequest Request{Vm};
  Instant SentAt = Loop.timers().now();
  Client.send(Target, internalRequest(internal_path::Sync, toCbor(Request)),
              SyncTimeout,
              [this, Address = Candidate, SentAt](const HttpResult &Result) {
                SyncInFlight = false;
                handleSyncResult(Address, Result);
                if (Leader == Address && !Leader.empty())
                  SyncedAt = std::max(SyncedAt, SentAt);
              });
}

void LeaderLink::handleSyncResult(const std::string &Address,
                                  const HttpResult &Result) {
  const auto *Response = std::get_if<HttpResponse>(&Result);
  SyncReply Reply;
  if (Response == nullptr || Response->Status != Ok ||
      !fromCbor(Response->Body, Reply)) {
    if (Leader == Address) {
      Events.log("leader_lost", {{"leader", Address}});
      Leader.clear();
    }
    return selectNextCandidate();
  }
  learnMembers(Reply);
  if (!Reply.IsLeader) {
    if (Leader == Address)
      Leader.clear();
    return followLeaderHint(Reply, Address);
  }
  if (Leader != Address)
    Events.log("leader_found", {{"leader", Address}});
  Leader = Candidate = Address;
  PendingJobs = std::move(Reply.PendingJobs);
  HasSynced = true;
  fetchConfiguration(Reply.Version);
}

void LeaderLink::learnMembers(const SyncReply &Reply) {
  if (Reply.IsLeader)
    MemberAddresses.clear();
  for (const std::string &Member : Reply.MemberAddresses)
    if (std::find(MemberAddresses.begin(), MemberAddresses.end(), Member) ==
        MemberAddresses.end())
      MemberAddresses.push_back(Member);
}

void LeaderLink::followLeaderHint(const SyncReply &Reply,
                                  const std::string &Address) {
  bool HasHint = !Reply.Leader.empty() && Reply.Leader != Address;
  if (!HasHint)
    return selectNextCandidate();
  Candidate = Reply.Leader;
  if (HintsFollowed++ < MaxHintsPerTick)
    sync();
}

void LeaderLink::fetchConfiguration(uint64_t LeaderVersion) {
  if (LeaderVersion <= Configuration.Version) {
    OutdatedSince.reset();
    return;
  }
  if (!OutdatedSince)
    OutdatedSince = Loop.timers().now();
  SocketAddress Target;
  if (FetchInFlight || SocketAddress::parse(Leader, Target))
    return;
  FetchInFlight = true;
  Client.send(
      Target,
      internalRequest(internal_path::Configuration, toCbor(SyncRequest{Vm})),
      FetchTimeout, [this](const HttpResult &Result) {
        FetchInFlight = false;
        handleConfigurationResult(Result);
      });
}

void LeaderLink::handleConfigurationResult(const HttpResult &Result) {
  const auto *Response = std::get_if<HttpResponse>(&Result);
  ConfigurationReply Reply;
  std::string Text;
  if (Response == nullptr || Response->Status != Ok ||
      !fromCbor(Response->Body, Reply) || !decompressText(Reply.Text, Text)) {
    // The next sync triggers another attempt.
    Events.log("configuration_not_fetched", {{"leader", Leader}});
    return;
  }
  if (Reply.Version <= Configuration.Version)
    return;
  ServiceConfiguration Parsed;
  if (auto Error = Reader.read(Text, Parsed)) {
    Events.log("configuration_unreadable",
               {{"version", Reply.Version}, {"fault", *Error}});
    return;
  }
  Configuration = std::move(Parsed);
  OutdatedSince.reset();
  Events.log("configuration_in_force",
             {{"version", Configuration.Version}, {"bytes", Text.size()}});
}

void LeaderLink::forwardRequest(const JobRequest &Request, Duration Timeout,
                                ResponseHandler OnResponse) {
  if (Leader.empty())
    return OnResponse(
        {JobRequestOutcome::NotRun, JobState::Queued, LeaderChangeRetryMs, {}});
  sendRequest(Leader, toCbor(Request), Loop.timers().now() + Timeout,
              MaxRedirects, std::move(OnResponse));
}

void LeaderLink::sendRequest(const std::string &Address,
                             const std::string &Body, Instant Deadline,
                             int RedirectsLeft, ResponseHandler OnResponse) {
  SocketAddress Target;
  Duration TimeLeft = Deadline - Loop.timers().now();
  if (SocketAddress::parse(Address, Target) || TimeLeft <= Duration::zero())
    return OnResponse(
        {JobRequestOutcome::NotRun, JobState::Queued, LeaderChangeRetryMs, {}});
  Client.send(
      Target, internalRequest(internal_path::Call, Body), TimeLeft,
      [this, Address, Body, Deadline, RedirectsLeft,
       OnResponse = std::move(OnResponse)](const HttpResult &Result) mutable {
        JobResponse LeaderResponse;
        if (std::holds_alternative<HttpNotSent>(Result)) {
          if (Leader == Address)
            Leader.clear();
          return OnResponse({JobRequestOutcome::NotRun,
                             JobState::Queued,
                             LeaderChangeRetryMs,
                             {}});
        }
        const auto *Response = std::get_if<HttpResponse>(&Result);
        if (Response == nullptr || Response->Status != Ok ||
            !fromCbor(Response->Body, LeaderResponse))
          return OnResponse(
              {JobRequestOutcome::Uncertain, JobState::Queued, 0, {}});
        if (LeaderResponse.Outcome != JobRequestOutcome::NotLeader)
          return OnResponse(LeaderResponse);
        if (Leader == Address)
          Leader.clear();
        bool HasHint =
            !LeaderResponse.Leader.empty() && LeaderResponse.Leader != Address;
        if (HasHint && RedirectsLeft > 0)
          return sendRequest(LeaderResponse.Leader, Body, Deadline,
                             RedirectsLeft - 1, std::move(OnResponse));
        OnResponse({JobRequestOutcome::NotRun,
                    JobState::Queued,
                    LeaderChangeRetryMs,
                    {}});
      });
}

} // namespace mimosashunt
