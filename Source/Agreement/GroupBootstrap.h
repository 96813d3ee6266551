// Bootstraps the consensus group of the control VMs from the configured seeds.
// Each seed with an empty disk offers its disk to the others; once a seed knows
// the disks of all seeds, it writes the same first log entry as the others. The
// member list of an existing group takes precedence over one that is still
// being collected.

#ifndef MIMOSASHUNT_AGREEMENT_GROUPBOOTSTRAP_H
#define MIMOSASHUNT_AGREEMENT_GROUPBOOTSTRAP_H

#include "Core/RaftTypes.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosashunt {

/// The message that control VMs exchange until the group exists.
struct BootstrapOffer {
  /// The sender. Its disk is NoDisk if it may not take part in the bootstrap.
  Member Sender;
  /// The founding members if the sender already belongs to a group; else empty.
  std::vector<Member> Founders;
  bool operator==(const BootstrapOffer &) const = default;
};

/// Decides when this VM may bootstrap the group, and with which members.
class GroupBootstrap {
public:
  /// \p Seeds are the configured addresses, the same on every control VM. \p
  /// MayBootstrap is true for an empty disk at the first start of the whole
  /// system.
  GroupBootstrap(Member Self, std::vector<std::string> Seeds,
                 bool MayBootstrap);

  /// Returns the offer of this VM. \p Founders is empty while it belongs to no
  /// group.
  BootstrapOffer offer(const std::vector<Member> &Founders) const;

  /// Processes the offer of another control VM. Returns the founding members to
  /// write to the log once this disk may bootstrap the group, else nothing.
  std::optional<std::vector<Member>> receive(const BootstrapOffer &Offer);

  /// Returns true if this VM is one of the configured seeds.
  bool isSeed() const;
  const std::vector<std::string> &seeds() const { return Seeds; }

private:
  const Member Self;
  const std::vector<std::string> Seeds;
  const bool MayBootstrap;
  std::map<std::string, Member>
      SeedMembers; // Known disks of the seeds, by address.
};

} // namespace mimosashunt

#endif
