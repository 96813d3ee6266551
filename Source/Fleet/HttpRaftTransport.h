// Carries Raft messages between control VMs over HTTP. For each peer at most
// one request with votes and one with other messages is in flight; messages
// sent meanwhile are batched into the next request. Replies to a request are
// returned in its HTTP response.

#ifndef MIMOSASHUNT_FLEET_HTTPRAFTTRANSPORT_H
#define MIMOSASHUNT_FLEET_HTTPRAFTTRANSPORT_H

#include "Agreement/GroupBootstrap.h"
#include "Core/ControlPorts.h"
#include "Links/HttpClient.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace mimosashunt {

/// Sends Raft messages, join requests and bootstrap offers to other control
/// VMs.
class HttpRaftTransport : public RaftTransport {
public:
  using MessageHandler = std::function<void(const RaftMessage &)>;
  using OfferHandler = std::function<void(const BootstrapOffer &)>;

  /// \p Seeds are internal addresses of control VMs, \p SelfAddress is this
  /// VM's own. \p OnMessage runs for each message that arrives in a request or
  /// response.
  HttpRaftTransport(EventLoop &Loop, std::vector<std::string> Seeds,
                    std::string SelfAddress, MessageHandler OnMessage);

  /// Queues a message until sendPending(). While a request of \p Message's
  /// receiver is handled, the message becomes part of the response instead.
  void send(const RaftMessage &Message, const std::string &Address) override;
  void sendJoinRequest(const Member &Self, const std::string &Address) override;

  /// Sends the queued messages to each peer that has no request in flight.
  /// Called at the end of each event loop iteration. Returns true if anything
  /// was sent.
  bool sendPending();

  /// Handles a request body from another control VM: passes its messages to the
  /// message handler, then calls \p Process, which persists what they require
  /// before any reply is sent. Returns the response body.
  std::string handleRequest(const std::string &Body,
                            const std::function<void()> &Process);

  /// Sends this VM's bootstrap offer to all other seeds. \p OnOffer runs for
  /// each offer that a seed returns; seeds that do not respond are ignored.
  void exchangeBootstrapOffers(const BootstrapOffer &OwnOffer,
                               const OfferHandler &OnOffer);
  /// Sets the members' addresses, which receive join requests besides the
  /// seeds.
  void setMemberAddresses(std::vector<std::string> Addresses);
  /// Replaces the seeds after a reload of the settings.
  void setSeeds(std::vector<std::string> Addresses);

private:
  struct MessageQueue {
    std::vector<RaftMessage> Pending;
    bool InFlight = false;
  };

  /// Adds the members that a control VM names in its response to a join
  /// request: only the leader can admit a member, and it may be no seed.
  void learnMembers(const HttpResult &JoinResponse);
  void sendBatch(const std::string &Address, MessageQueue &Queue);
  std::vector<std::string> peerAddresses() const;

  HttpClient Client;
  std::vector<std::string> Seeds;
  const std::string SelfAddress;
  const MessageHandler OnMessage;
  std::vector<std::string> MemberAddresses;
  // Keyed by address and by whether the messages are votes: votes must not be
  // delayed by log entries.
  std::map<std::pair<std::string, bool>, MessageQueue> Queues;
  // Sender of the request being handled (else NoDisk) and the replies to it.
  DiskId RequestSender = NoDisk;
  std::vector<RaftMessage> Replies;
};

/// Encodes an offer for a request or response body.
std::string encodeBootstrapOffer(const BootstrapOffer &Offer);
/// Returns false if \p Bytes hold no valid offer.
bool decodeBootstrapOffer(const std::string &Bytes, BootstrapOffer &Result);

} // namespace mimosashunt

#endif
