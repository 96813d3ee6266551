// Carries consensus messages between control VMs. To each VM at most one
// request of a kind is under way; what comes meanwhile goes with the next one,
// and answers come back in the response.

#ifndef MIMOSASHUNT_FLEET_AGREEMENTLINKS_H
#define MIMOSASHUNT_FLEET_AGREEMENTLINKS_H

#include "Agreement/GroupBootstrap.h"
#include "Core/ControlPorts.h"
#include "Links/HttpClient.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace mimosashunt {

class AgreementLinks : public RaftTransport {
public:
  using Receive = std::function<void(const RaftMessage &)>;
  using ReceiveOffer = std::function<void(const BootstrapOffer &)>;

  AgreementLinks(EventLoop &Loop, std::vector<std::string> Seeds,
                 std::string SelfAddress, Receive Take);

  void send(const RaftMessage &Message, const std::string &Address) override;
  void sendJoinRequest(const Member &Self, const std::string &Address) override;

  /// Sends what waits; called at the end of each turn. Returns true if it sent.
  bool flush();

  /// Handles a request of another control VM: \p Process takes the messages in
  /// and writes what they need written. Returns the answering body.
  std::string answer(const std::string &Body,
                     const std::function<void()> &Process);

  /// Exchanges founding offers with the seeds.
  void offer(const BootstrapOffer &Own, const ReceiveOffer &Take);
  /// Addresses besides the seeds where the group may be found.
  void knownMembers(std::vector<std::string> Addresses);
  /// The settings name other seeds now.
  void seeds(std::vector<std::string> Addresses);

private:
  struct Lane {
    std::vector<RaftMessage> Waiting;
    bool UnderWay = false;
  };

  void post(const std::string &Address, Lane &Lane);
  std::vector<std::string> others() const;

  HttpClient Client;
  std::vector<std::string> Seeds;
  const std::string SelfAddress;
  const Receive Take;
  std::vector<std::string> Members;
  // By address and whether the messages are votes, which must not wait behind
  // entries.
  std::map<std::pair<std::string, bool>, Lane> Lanes;
  // While a request is handled: its sender, and what goes back to it.
  DiskId AnsweringTo = NoDisk;
  std::vector<RaftMessage> Answers;
};

std::string encodeOffer(const BootstrapOffer &Offer);
bool decodeOffer(const std::string &Bytes, BootstrapOffer &Result);

} // namespace mimosashunt

#endif
