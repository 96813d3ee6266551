#include "Fleet/HttpRaftTransport.h"

#include "Agreement/RaftCodec.h"
#include "Fleet/InternalMessages.h"
#include "Jobs/JobCommands.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mimosashunt {

namespace {

/// Longer than a follower's sync on a healthy disk, shorter than an election.
constexpr Duration MessageTimeout = milliseconds(700);
constexpr Duration SnapshotTimeout = seconds(4);
/// Queued messages for an unresponsive peer are discarded beyond this number.
/// Raft sends them again once the peer responds.
constexpr size_t MaxPendingMessages = 64;

bool isVote(const RaftMessage &Message) {
  return std::holds_alternative<VoteRequest>(Message.Body) ||
         std::holds_alternative<VoteReply>(Message.Body);
}

const std::string *successBody(const HttpResult &Result) {
  constexpr int Ok = 200;
  const auto *Response = std::get_if<HttpResponse>(&Result);
  return Response && Response->Status == Ok ? &Response->Body : nullptr;
}

} // namespace

std::string encodeBootstrapOffer(const BootstrapOffer &Offer) {
  std::vector<Member> All = {Offer.Sender};
  All.insert(All.end(), Offer.Founders.begin(), Offer.Founders.end());
  return encodeMembers(All);
}

bool decodeBootstrapOffer(const std::string &Bytes, BootstrapOffer &Result) {
  std::vector<Member> All;
  if (!decodeMembers(Bytes, All) || All.empty())
    return false;
  Result.Sender = All.front();
  Result.Founders.assign(All.begin() + 1, All.end());
  return true;
}

HttpRaftTransport::HttpRaftTransport(EventLoop &Loop,
                                     std::vector<std::string> Seeds,
                                     std::string SelfAddress,
                                     MessageHandler OnMessage)
    : Client(Loop), Seeds(std::move(Seeds)),
      SelfAddress(std::move(SelfAddress)), OnMessage(std::move(OnMessage)) {}

void HttpRaftTransport::send(const RaftMessage &Message,
                             const std::string &Address) {
  if (RequestSender != NoDisk && Message.To == RequestSender) {
    Replies.push_back(Message);
    return;
  }
  if (Address.empty())
    return;
  MessageQueue &Queue = Queues[{Address, isVote(Message)}];
  if (Queue.Pending.size() >= MaxPendingMessages)
    Queue.Pending.clear();
  Queue.Pending.push_back(Message);
}

bool HttpRaftTransport::sendPending() {
  bool Sent = false;
  for (auto &[Key, Queue] : Queues) {
    if (Queue.InFlight || Queue.Pending.empty())
      continue;
    sendBatch(Key.first, Queue);
    Sent = true;
  }
  return Sent;
}

void HttpRaftTransport::sendBatch(const std::string &Address,
                                  MessageQueue &Queue) {
  SocketAddress Target;
  if (SocketAddress::parse(Address, Target)) {
    Queue.Pending.clear();
    return;
  }
  std::vector<RaftMessage> Batch = std::exchange(Queue.Pending, {});
  bool HasSnapshot =
      std::any_of(Batch.begin(), Batch.end(), [](const RaftMessage &Message) {
        return std::holds_alternative<SnapshotRequest>(Message.Body);
      });
  Queue.InFlight = true;
  Client.send(
      Target,
      internalRequest(internal_path::Consensus, encodeRaftMessages(Batch)),
      HasSnapshot ? SnapshotTimeout : MessageTimeout,
      [this, &Queue](const HttpResult &Result) {
        Queue.InFlight = false;
        std::vector<RaftMessage> Responses;
        const std::string *Body = successBody(Result);
        if (Body != nullptr && decodeRaftMessages(*Body, Responses))
          for (const RaftMessage &Message : Responses)
            OnMessage(Message);
      });
}

std::string
HttpRaftTransport::handleRequest(const std::string &Body,
                                 const std::function<void()> &Process) {
  std::vector<RaftMessage> Messages;
  if (!decodeRaftMessages(Body, Messages) || Messages.empty())
    return encodeRaftMessages({});
  RequestSender = Messages.front().From;
  Replies.clear();
  for (const RaftMessage &Message : Messages)
    OnMessage(Message);
  Process();
  RequestSender = NoDisk;
  return encodeRaftMessages(std::exchange(Replies, {}));
}

std::vector<std::string> HttpRaftTransport::peerAddresses() const {
  std::set<std::string> All(Seeds.begin(), Seeds.end());
  All.insert(MemberAddresses.begin(), MemberAddresses.end());
  All.erase(SelfAddress);
  return {All.begin(), All.end()};
}

void HttpRaftTransport::setMemberAddresses(std::vector<std::string> Addresses) {
  MemberAddresses = std::move(Addresses);
}

void HttpRaftTransport::setSeeds(std::vector<std::string> Addresses) {
  Seeds = std::move(Addresses);
}

void HttpRaftTransport::sendJoinRequest(const Member &Self,
                                        const std::string &) {
  std::string Body = encodeMembers({Self});
  for (const std::string &Address : peerAddresses()) {
    SocketAddress Target;
    if (!SocketAddress::parse(Address, Target))
      Client.send(Target, internalRequest(internal_path::Join, Body),
                  MessageTimeout,
                  [this](const HttpResult &Result) { learnMembers(Result); });
  }
}

void HttpRaftTransport::learnMembers(const HttpResult &JoinResponse) {
  const std::string *Body = successBody(JoinResponse);
  std::vector<Member> Known;
  if (Body == nullptr || !decodeMembers(*Body, Known))
    return;
  std::set<std::string> Addresses(MemberAddresses.begin(),
                                  MemberAddresses.end());
  for (const Member &Item : Known)
    Addresses.insert(Item.Address);
  MemberAddresses.assign(Addresses.begin(), Addresses.end());
}

void HttpRaftTransport::exchangeBootstrapOffers(const BootstrapOffer &OwnOffer,
                                                const OfferHandler &OnOffer) {
  std::string RequestBody = encodeBootstrapOffer(OwnOffer);
  for (const std::string &Address : Seeds) {
    SocketAddress Target;
    if (Address == SelfAddress || SocketAddress::parse(Address, Target))
      continue;
    Client.send(Target, internalRequest(internal_path::Offer, RequestBody),
                MessageTimeout, [OnOffer](const HttpResult &Result) {
                  BootstrapOffer PeerOffer;
                  const std::string *Body = successBody(Result);
                  if (Body != nullptr && decodeBootstrapOffer(*Body, PeerOffer))
                    OnOffer(PeerOffer);
                });
  }
}

} // namespace mimosashunt
