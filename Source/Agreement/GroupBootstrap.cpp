#include "Agreement/GroupBootstrap.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

GroupBootstrap::GroupBootstrap(Member Self, std::vector<std::string> Seeds,
                               bool MayFound)
    : Self(std::move(Self)), Seeds(std::move(Seeds)), MayFound(MayFound) {
  if (MayFound && isSeed())
    Known.emplace(this->Self.Address, this->Self);
}

bool GroupBootstrap::isSeed() const {
  return std::find(Seeds.begin(), Seeds.end(), Self.Address) != Seeds.end();
}

BootstrapOffer GroupBootstrap::offer(const std::vector<Member> &Founded) const {
  BootstrapOffer Offer{Self, Founded};
  bool Offers = MayFound && isSeed();
  if (!Offers && Founded.empty())
    Offer.Sender.Disk = NoDisk;
  return Offer;
}

std::optional<std::vector<Member>>
GroupBootstrap::receive(const BootstrapOffer &Offer) {
  if (!MayFound || !isSeed())
    return std::nullopt;
  if (!Offer.Founders.empty()) {
    // Another seed was first. Its list stands if this disk is in it; otherwise
    // this disk joins that group as a learner.
    auto Listed = std::find(Offer.Founders.begin(), Offer.Founders.end(), Self);
    if (Listed == Offer.Founders.end())
      return std::nullopt;
    return Offer.Founders;
  }
  bool FromSeed = std::find(Seeds.begin(), Seeds.end(), Offer.Sender.Address) !=
                  Seeds.end();
  if (!FromSeed || Offer.Sender.Disk == NoDisk)
    return std::nullopt;
  Known[Offer.Sender.Address] = Offer.Sender;
  if (Known.size() < Seeds.size())
    return std::nullopt;
  std::vector<Member> Founders;
  for (const auto &[Address, Seed] : Known)
    Founders.push_back(Seed);
  return Founders;
}

} // namespace mimosashunt
