#include "Fleet/AgreementLinks.h"

#include "Agreement/RaftCodec.h"
#include "Fleet/InternalMessages.h"
#include "Jobs/JobCommands.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mimosashunt {

namespace {

/// Longer than a follower's sync on a healthy disk; shorter than an election.
constexpr Duration MessageTimeout = milliseconds(700);
constexpr Duration SnapshotTimeout = seconds(4);
/// More than this many waiting messages are of no use to a member that does not
/// answer; the log sends them again when it does.
constexpr size_t MaxWaiting = 64;

bool isVote(const RaftMessage &Message) {
  return std::holds_alternative<VoteRequest>(Message.Body) ||
         std::holds_alternative<VoteReply>(Message.Body);
}

const std::string *bodyOf(const HttpResult &Result) {
  constexpr int Ok = 200;
  const auto *Response = std::get_if<HttpResponse>(&Result);
  return Response && Response->Status == Ok ? &Response->Body : nullptr;
}

} // namespace

std::string encodeOffer(const BootstrapOffer &Offer) {
  std::vector<Member> All = {Offer.Sender};
  All.insert(All.end(), Offer.Founders.begin(), Offer.Founders.end());
  return encodeMembers(All);
}

bool decodeOffer(const std::string &Bytes, BootstrapOffer &Result) {
  std::vector<Member> All;
  if (!decodeMembers(Bytes, All) || All.empty())
    return false;
  Result.Sender = All.front();
  Result.Founders.assign(All.begin() + 1, All.end());
  return true;
}

AgreementLinks::AgreementLinks(EventLoop &Loop, std::vector<std::string> Seeds,
                               std::string SelfAddress, Receive Take)
    : Client(Loop), Seeds(std::move(Seeds)),
      SelfAddress(std::move(SelfAddress)), Take(std::move(Take)) {}

void AgreementLinks::send(const RaftMessage &Message,
                          const std::string &Address) {
  if (AnsweringTo != NoDisk && Message.To == AnsweringTo) {
    Answers.push_back(Message);
    return;
  }
  if (Address.empty())
    return;
  Lane &To = Lanes[{Address, isVote(Message)}];
  if (To.Waiting.size() >= MaxWaiting)
    To.Waiting.clear();
  To.Waiting.push_back(Message);
}

bool AgreementLinks::flush() {
  bool Sent = false;
  for (auto &[Key, To] : Lanes) {
    if (To.UnderWay || To.Waiting.empty())
      continue;
    post(Key.first, To);
    Sent = true;
  }
  return Sent;
}

void AgreementLinks::post(const std::string &Address, Lane &To) {
  SocketAddress Target;
  if (SocketAddress::parse(Address, Target)) {
    To.Waiting.clear();
    return;
  }
  std::vector<RaftMessage> Batch = std::exchange(To.Waiting, {});
  bool HasSnapshot =
      std::any_of(Batch.begin(), Batch.end(), [](const RaftMessage &Message) {
        return std::holds_alternative<SnapshotRequest>(Message.Body);
      });
  To.UnderWay = true;
  Client.send(
      Target,
      internalRequest(internal_path::Consensus, encodeRaftMessages(Batch)),
      HasSnapshot ? SnapshotTimeout : MessageTimeout,
      [this, &To](const HttpResult &Result) {
        To.UnderWay = false;
        std::vector<RaftMessage> Back;
        const std::string *Body = bodyOf(Result);
        if (Body != nullptr && decodeRaftMessages(*Body, Back))
          for (const RaftMessage &Message : Back)
            Take(Message);
      });
}

std::string AgreementLinks::answer(const std::string &Body,
                                   const std::function<void()> &Process) {
  std::vector<RaftMessage> Messages;
  if (!decodeRaftMessages(Body, Messages) || Messages.empty())
    return encodeRaftMessages({});
  AnsweringTo = Messages.front().From;
  Answers.clear();
  for (const RaftMessage &Message : Messages)
    Take(Message);
  Process();
  AnsweringTo = NoDisk;
  return encodeRaftMessages(std::exchange(Answers, {}));
}

std::vector<std::string> AgreementLinks::others() const {
  std::set<std::string> All(Seeds.begin(), Seeds.end());
  All.insert(Members.begin(), Members.end());
  All.erase(SelfAddress);
  return {All.begin(), All.end()};
}

void AgreementLinks::knownMembers(std::vector<std::string> Addresses) {
  Members = std::move(Addresses);
}

void AgreementLinks::seeds(std::vector<std::string> Addresses) {
  Seeds = std::move(Addresses);
}

void AgreementLinks::sendJoinRequest(const Member &Self, const std::string &) {
  std::string Body = encodeMembers({Self});
  for (const std::string &Address : others()) {
    SocketAddress Target;
    if (!SocketAddress::parse(Address, Target))
      Client.send(Target, internalRequest(internal_path::Join, Body),
                  MessageTimeout, [](const HttpResult &) {});
  }
}

void AgreementLinks::offer(const BootstrapOffer &Own, const ReceiveOffer &Run) {
  std::string Body = encodeOffer(Own);
  for (const std::string &Address : Seeds) {
    SocketAddress Target;
    if (Address == SelfAddress || SocketAddress::parse(Address, Target))
      continue;
    Client.send(Target, internalRequest(internal_path::Offer, Body),
                MessageTimeout, [Run](const HttpResult &Result) {
                  BootstrapOffer Theirs;
                  const std::string *Back = bodyOf(Result);
                  if (Back != nullptr && decodeOffer(*Back, Theirs))
                    Run(Theirs);
                });
  }
}

} // namespace mimosashunt
