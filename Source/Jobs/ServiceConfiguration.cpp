#include "Jobs/ServiceConfiguration.h"

#include <set>
#include <utility>

namespace mimosashunt {

namespace {

template <class T>
const T *findByName(const std::vector<T> &List, std::string_view Name) {
  for (const T &Item : List)
    if (Item.Name == Name)
      return &Item;
  return nullptr;
}

} // namespace

const QueueConfiguration *
ServiceConfiguration::findQueue(std::string_view Name) const {
  return findByName(Queues, Name);
}

const PoolConfiguration *
ServiceConfiguration::findPool(std::string_view Name) const {
  return findByName(Pools, Name);
}

const OrganisationConfiguration *
ServiceConfiguration::findOrganisation(std::string_view Name) const {
  return findByName(Organisations, Name);
}

const OrganisationConfiguration *
ServiceConfiguration::findOrganisationByKey(std::string_view Key) const {
  for (const OrganisationConfiguration &Item : Organisations)
    for (const std::string &OrganisationKey : Item.Keys)
      if (OrganisationKey == Key)
        return &Item;
  return nullptr;
}

const QueueConfiguration *
ServiceConfiguration::matchQueue(std::string_view Host,
                                 std::string_view Path) const {
  const QueueConfiguration *Best = nullptr;
  for (const QueueConfiguration &Queue : Queues) {
    bool Matches = Queue.Host == Host && Path.starts_with(Queue.Prefix);
    if (Matches && (!Best || Queue.Prefix.size() > Best->Prefix.size()))
      Best = &Queue;
  }
  return Best;
}

void ServiceConfiguration::setPoolVersions(
    const ServiceConfiguration &Previous) {
  for (QueueConfiguration &Queue : Queues) {
    const QueueConfiguration *Earlier = Previous.findQueue(Queue.Name);
    bool HasKeptPool = Earlier != nullptr && Earlier->Pool == Queue.Pool;
    Queue.PoolSince = HasKeptPool ? Earlier->PoolSince : Version;
  }
}

std::string ServiceConfiguration::validationError() const {
  std::set<std::string> PoolNames;
  for (const PoolConfiguration &Pool : Pools)
    if (!PoolNames.insert(Pool.Name).second)
      return "service '" + Pool.Name + "' stands twice; name each once";
  std::set<std::string> QueueNames;
  std::set<std::pair<std::string, std::string>> Prefixes;
  for (const QueueConfiguration &Queue : Queues) {
    if (!QueueNames.insert(Queue.Name).second)
      return "route '" + Queue.Name + "' stands twice; name each once";
    if (!PoolNames.count(Queue.Pool))
      return "route '" + Queue.Name + "' names the unknown service '" +
             Queue.Pool + "'; add the service or correct the name";
    if (!Prefixes.emplace(Queue.Host, Queue.Prefix).second)
      return "route '" + Queue.Name + "' has another route's host and prefix " +
             Queue.Host + Queue.Prefix + "; give each its own";
    if (Queue.TimeoutMs <= 0)
      return "route '" + Queue.Name + "' has no time; set at least 1 ms";
  }
  std::set<std::string> Keys;
  for (const OrganisationConfiguration &Item : Organisations)
    for (const std::string &Key : Item.Keys)
      if (!Keys.insert(Key).second)
        return "organisation '" + Item.Name +
               "' holds a key of another place in the list; issue a new key";
  return {};
}

} // namespace mimosashunt
