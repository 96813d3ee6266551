#include "Control/DocumentSchema.h"

#include "Daemon/SchemaParts.h"

#include <limits>

namespace mimosashunt {

namespace {

constexpr int64_t MaxCount = 1000000;

Json boolSchema(const std::string &Description) {
  return {{"type", "boolean"}, {"description", Description}};
}

Json digestSchema() {
  return {{"type", "string"},
          {"pattern", "^[0-9a-f]{64}$"},
          {"description", "the key's SHA-256, 64 lower-case hexadecimal "
                          "digits"}};
}

} // namespace

Json documentSchema() {
  Json Queue = objectSchema(
      "a queue: name, open, deadlineMillis, urgent", {"name"},
      {{"name", nameSchema("name of the queue, unique in the fleet")},
       {"open", boolSchema("true takes work without a key")},
       {"deadlineMillis",
        numberSchema("longest time from arrival to answer in milliseconds", 1,
                     30000)},
       {"urgent", boolSchema("true lets its work go first")}});
  Json Service = objectSchema(
      "a service: name, pools, instances, maxUnavailable, queues",
      {"name", "pools", "instances", "maxUnavailable", "queues"},
      {{"name", nameSchema("name of the service")},
       {"pools", listSchema("pools that its instances may use",
                            nameSchema("name of a pool"), 1)},
       {"instances", numberSchema("instances that it needs", 1, MaxCount)},
       {"maxUnavailable",
        numberSchema("instances that may be down at once", 0, MaxCount)},
       {"queues", listSchema("queues that it serves", Queue, 1)}});
  return objectSchema(
      "a team's document: team, share, limit, services",
      {"team", "share", "limit"},
      {{"team", nameSchema("name of the team")},
       {"share", numberSchema("weight when the fleet is full", 1, 1000)},
       {"limit",
        numberSchema("most requests running across the fleet", 0, MaxCount)},
       {"services",
        {{"type", "array"},
         {"maxItems", 1},
         {"items", Service},
         {"description", "the team's service, at most one"}}}});
}

Json keySchema() {
  return objectSchema(
      "a key grant: team and digest", {"team", "digest"},
      {{"team", nameSchema("name of the team")}, {"digest", digestSchema()}});
}

Json operatorSchema() {
  return objectSchema("an operator: operator and digest",
                      {"operator", "digest"},
                      {{"operator", nameSchema("name of the operator")},
                       {"digest", digestSchema()}});
}

Json poolSchema() {
  return objectSchema("a pool: pool and spare", {"pool"},
                      {{"pool", nameSchema("name of the pool")},
                       {"spare", boolSchema("true for a spare pool")}});
}

Json vmSchema() {
  return objectSchema("a VM: vm, pool, dataCentre, rack",
                      {"vm", "pool", "dataCentre", "rack"},
                      {{"vm", nameSchema("name of the VM")},
                       {"pool", nameSchema("its first pool")},
                       {"dataCentre", nameSchema("its data centre")},
                       {"rack", nameSchema("its rack")}});
}

Json moveSchema() {
  return objectSchema("a move: from and to", {"from", "to"},
                      {{"from", nameSchema("pool that the VM leaves")},
                       {"to", nameSchema("pool that the VM joins")}});
}

Json waveSchema() {
  return objectSchema(
      "a wave: wave and vms", {"wave", "vms"},
      {{"wave", nameSchema("name of the wave")},
       {"vms", listSchema("VMs to maintain", nameSchema("name of a VM"), 1)}});
}

TeamDocument readDocument(const Json &DocumentJson) {
  TeamDocument Result;
  Result.Team = DocumentJson.at("team").get<std::string>();
  Result.Share = DocumentJson.at("share").get<uint32_t>();
  Result.Limit = DocumentJson.at("limit").get<uint32_t>();
  for (const Json &ServiceJson :
       DocumentJson.value("services", Json::array())) {
    ServiceSpec Service;
    Service.Name = ServiceJson.at("name").get<std::string>();
    Service.Pools = ServiceJson.at("pools").get<std::vector<std::string>>();
    Service.Instances = ServiceJson.at("instances").get<uint32_t>();
    Service.MaxUnavailable = ServiceJson.at("maxUnavailable").get<uint32_t>();
    for (const Json &QueueJson : ServiceJson.at("queues")) {
      QueueSpec Queue;
      Queue.Name = QueueJson.at("name").get<std::string>();
      Queue.IsOpen = QueueJson.value("open", Queue.IsOpen);
      Queue.DeadlineMillis =
          QueueJson.value("deadlineMillis", Queue.DeadlineMillis);
      Queue.IsUrgent = QueueJson.value("urgent", Queue.IsUrgent);
      Service.Queues.push_back(std::move(Queue));
    }
    Result.Services.push_back(std::move(Service));
  }
  return Result;
}

} // namespace mimosashunt
