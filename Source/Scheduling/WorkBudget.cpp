#include "Scheduling/WorkBudget.h"

#include "Scheduling/JobProgress.h"
#include "Scheduling/OrganisationShares.h"

#include <algorithm>

namespace mimosashunt {

namespace {

/// Weight of the jobs whose organisation the configuration does not name, such
/// as those of public queues.
constexpr double UnnamedWeight = 1;

int64_t textBytes(const AcceptJob &Job) {
  size_t Bytes = Job.Spec.Payload.size() + Job.Queue.size() +
                 Job.Organisation.size() + Job.Job.size();
  for (const StepSpec &Step : Job.Spec.Steps)
    Bytes += Step.RequiredLabel.size() + Step.DataRack.size() +
             Step.Image.size() + Step.DependsOn.size() * sizeof(uint32_t);
  return static_cast<int64_t>(Bytes);
}

} // namespace

int64_t estimateJobBytes(const AcceptJob &Job, size_t AdvisedWorkers) {
  // The record, the leader's copy of it, and the entry of the log in memory and
  // on its way to the followers.
  constexpr int64_t TextCopies = 4;
  constexpr int64_t EncodedStepBytes = 200;
  // Nodes of maps, and workers by step.
  constexpr int64_t NodeBytes = 128;
  // What a run adds: itself, its task's id in several maps, and its worker's.
  constexpr int64_t RunBytes = sizeof(Run) + 2 * sizeof(TaskId) + NodeBytes;
  constexpr int64_t TaskBytes =
      sizeof(TaskRecord) + sizeof(TaskProgress) + RunBytes;
  // A ticket is a text of some tens of bytes.
  constexpr int64_t TicketBytes = sizeof(StepAdvice::Ticket) + NodeBytes;
  const int64_t StepBytes = static_cast<int64_t>(sizeof(StepProgress)) +
                            NodeBytes +
                            static_cast<int64_t>(AdvisedWorkers) * TicketBytes;
  constexpr int64_t OccurrenceBytes =
      sizeof(OccurrenceProgress) + sizeof(TaskRecords::Open) + 2 * NodeBytes;
  constexpr int64_t JobBytes =
      sizeof(JobRecord) + sizeof(JobProgress) + 4 * NodeBytes;
  auto Steps = static_cast<int64_t>(Job.Spec.Steps.size());
  auto Tasks = static_cast<int64_t>(tasksPerOccurrence(Job.Spec));
  int64_t EachOccurrence =
      OccurrenceBytes + Steps * StepBytes + Tasks * TaskBytes;
  return JobBytes + TextCopies * textBytes(Job) +
         Steps * (2 * static_cast<int64_t>(sizeof(StepSpec)) +
                  2 * EncodedStepBytes) +
         maxOpenOccurrences(Job.Spec) * EachOccurrence;
}

void WorkBudget::setOrganisations(const ServiceConfiguration &Configuration) {
  Weights.clear();
  TotalWeight = UnnamedWeight;
  for (const OrganisationConfiguration &Organisation :
       Configuration.Organisations) {
    double Weight = std::max(Organisation.Weight, MinOrganisationWeight);
    Weights[Organisation.Name] = Weight;
    TotalWeight += Weight;
  }
}

std::string WorkBudget::ownerOf(const std::string &Organisation) const {
  return Weights.count(Organisation) > 0 ? Organisation : std::string();
}

int64_t WorkBudget::guaranteeOf(const std::string &Organisation) const {
  auto It = Weights.find(Organisation);
  double Weight = It == Weights.end() ? UnnamedWeight : It->second;
  return static_cast<int64_t>(static_cast<double>(Bytes - lendableBytes()) *
                              Weight / TotalWeight);
}

int64_t WorkBudget::usedBy(const std::string &Organisation) const {
  auto It = UsedBy.find(Organisation);
  return It == UsedBy.end() ? 0 : It->second;
}

int64_t WorkBudget::limitOf(const std::string &Organisation) const {
  int64_t BorrowedByOthers = 0;
  for (const auto &[Other, Held] : UsedBy)
    if (Other != Organisation)
      BorrowedByOthers += std::max<int64_t>(0, Held - guaranteeOf(Other));
  // What it borrows is at most as much as it leaves to the others.
  int64_t Left = std::max<int64_t>(0, lendableBytes() - BorrowedByOthers);
  return guaranteeOf(Organisation) + Left / 2;
}

Admission WorkBudget::assess(const std::string &Organisation,
                             int64_t JobBytes) const {
  const std::string Owner = ownerOf(Organisation);
  int64_t MostEver = guaranteeOf(Owner) + lendableBytes() / 2;
  if (JobBytes > MostEver)
    return TooLarge{JobBytes, MostEver};
  int64_t Free = std::min(limitOf(Owner) - usedBy(Owner), Bytes - Used);
  if (JobBytes > Free)
    return NoRoomNow{JobBytes, std::max<int64_t>(0, Free)};
  return Admitted{};
}

void WorkBudget::add(const JobId &Job, const std::string &Organisation,
                     int64_t JobBytes) {
  const std::string Owner = ownerOf(Organisation);
  if (!Charges.try_emplace(Job, Charge{Owner, JobBytes}).second)
    return;
  UsedBy[Owner] += JobBytes;
  Used += JobBytes;
}

void WorkBudget::remove(const JobId &Job) {
  auto It = Charges.find(Job);
  if (It == Charges.end())
    return;
  auto Owner = UsedBy.find(It->second.Organisation);
  Used -= It->second.Bytes;
  Owner->second -= It->second.Bytes;
  if (Owner->second == 0)
    UsedBy.erase(Owner);
  Charges.erase(It);
}

} // namespace mimosashunt
