#include "Agreement/GroupBootstrap.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

GroupBootstrap::GroupBootstrap(Member Self, std::vector<std::string> Seeds,
                               bool MayBootstrap)
    : Self(std::move(Self)), Seeds(std::move(Seeds)),
      MayBootstrap(MayBootstrap) {
  if (MayBootstrap && isSeed())
    SeedMembers.emplace(this->Self.Address, this->Self);
}

bool GroupBootstrap::isSeed() const {
  return std::find(Seeds.begin(), Seeds.end(), Self.Address) != Seeds.end();
}

BootstrapOffer
GroupBootstrap::offer(const std::vector<Member> &Founders) const {
  BootstrapOffer Offer{Self, Founders};
  bool CanBootstrap = MayBootstrap && isSeed();
  if (!CanBootstrap && Founders.empty())
    Offer.Sender.Disk = NoDisk;
  return Offer;
}

std::optional<std::vector<Member>>
GroupBootstrap::receive(const BootstrapOffer &Offer) {
  if (!MayBootstrap || !isSeed())
    return std::nullopt;
  if (!Offer.Founders.empty()) {
    // Another seed has bootstrapped the group already. Its list is adopted if
    // this disk is in it; otherwise this disk joins that group as a learner.
    auto Listed = std::find(Offer.Founders.begin(), Offer.Founders.end(), Self);
    if (Listed == Offer.Founders.end())
      return std::nullopt;
    return Offer.Founders;
  }
  bool FromSeed = std::find(Seeds.begin(), Seeds.end(), Offer.Sender.Address) !=
                  Seeds.end();
  if (!FromSeed || Offer.Sender.Disk == NoDisk)
    return std::nullopt;
  SeedMembers[Offer.Sender.Address] = Offer.Sender;
  if (SeedMembers.size() < Seeds.size())
    return std::nullopt;
  std::vector<Member> Founders;
  for (const auto &[Address, Seed] : SeedMembers)
    Founders.push_back(Seed);
  return Founders;
}

} // namespace mimosashunt
