// Founds a group of control VMs out of the seeds that all of them were told.
// Each seed with an empty disk offers its disk; once a seed knows every seed's
// disk, it writes the same first entry as the others. A list that was founded
// wins over one that is still being gathered.

#ifndef MIMOSASHUNT_AGREEMENT_GROUPBOOTSTRAP_H
#define MIMOSASHUNT_AGREEMENT_GROUPBOOTSTRAP_H

#include "Core/RaftTypes.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosashunt {

/// What a seed tells the others while there is no group.
struct BootstrapOffer {
  /// The sender; its disk is NoDisk if it may not found anything.
  Member Sender;
  /// The founders, if the sender's disk belongs to a group already.
  std::vector<Member> Founders;
  bool operator==(const BootstrapOffer &) const = default;
};

class GroupBootstrap {
public:
  /// \p Seeds are the addresses that every control VM was told. \p MayFound is
  /// true for an empty disk at the first start of the whole system.
  GroupBootstrap(Member Self, std::vector<std::string> Seeds, bool MayFound);

  /// This VM's own offer. \p Founded is empty while it belongs to no group.
  BootstrapOffer offer(const std::vector<Member> &Founded) const;

  /// Takes in another's offer. Returns the founders to write, once, when this
  /// disk may found the group.
  std::optional<std::vector<Member>> receive(const BootstrapOffer &Offer);

  bool isSeed() const;
  const std::vector<std::string> &seeds() const { return Seeds; }

private:
  const Member Self;
  const std::vector<std::string> Seeds;
  const bool MayFound;
  std::map<std::string, Member> Known; // Seeds' disks by address.
};

} // namespace mimosashunt

#endif
