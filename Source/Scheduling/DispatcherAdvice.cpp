// The part of the scheduler that asks the advice service which workers may run
// the steps of queues with a policy.

#include "Scheduling/Dispatcher.h"
#include "Scheduling/LogFields.h"

#include <algorithm>
#include <utility>

namespace mimosashunt {

namespace {

/// A ticket that is valid for less is of no use: the start has to be decided
/// and sent.
constexpr Duration MinTicketValidity = milliseconds(50);

} // namespace

void Dispatcher::requestAdvice(JobProgress &Job, uint32_t Occurrence,
                               uint32_t Step,
                               const std::vector<Candidate> &Candidates) {
  const StepSpec &Spec = Job.stepSpec(Step);
  const StepProgress &Progress = Job.Occurrences.at(Occurrence).Steps[Step];
  AdviceNeed Need;
  Need.Step = {Job.id(), Occurrence, Step, 0};
  Need.Queue = Job.job().Queue;
  Need.Policy = Job.Advice.value_or(AdvicePolicy());
  Need.Priority = Job.Priority;
  Need.Objective = Job.Objective;
  std::vector<std::string> Full;
  uint32_t Left = Spec.Count - Progress.DoneCount - Progress.PlacedCount;
  uint32_t MaxEach = Spec.MaxPerWorker > 0 ? Spec.MaxPerWorker : Spec.Count;
  for (const Candidate &Target : Candidates) {
    const std::string &Id = Target.Worker->key().Id;
    if (!Target.Worker->Entry.satisfiesLabel(Spec.RequiredLabel) ||
        Progress.Advice.isDecided(Id, Timers.now()))
      continue;
    // A ticket is of use at once where there is room.
    uint32_t Fits = countTasksThatFit(Spec, Target.Free, MaxEach);
    Need.WorkersNeeded += Fits > 0 && Left > 0 ? 1 : 0;
    Left -= std::min(Left, Fits);
    (Fits > 0 ? Need.Workers : Full).push_back(Id);
  }
  Need.Workers.insert(Need.Workers.end(), Full.begin(), Full.end());
  // What fits nowhere now may need a worker each.
  Need.WorkersNeeded = std::max<size_t>(Need.WorkersNeeded + Left, 1);
  Advice.add(Need);
}

void Dispatcher::sendAdviceCall() {
  if (!Advice.mayCall(Timers.now()))
    return;
  Advice.removeUnless([this](const TaskId &Step) {
    auto Job = Jobs.find(Step.Job);
    if (Job == Jobs.end() || Job->second->HasEnded ||
        !Job->second->Advice.has_value())
      return false;
    const StepProgress *Progress = Job->second->findStep(Step);
    return Progress != nullptr && !Progress->isDone();
  });
  if (!Advice.mayCall(Timers.now()))
    return;
  AdviceCall Call = Advice.takeNext();
  std::shared_ptr<bool> IsAlive = AliveFlag;
  Port.requestAdvice(Call.Step, Call.Workers, Call.Timeout,
                     [this, IsAlive, Call](const AdviceResponse &Response) {
                       if (*IsAlive)
                         onAdvice(Call, Response);
                     });
}

void Dispatcher::onAdvice(const AdviceCall &Call,
                          const AdviceResponse &Response) {
  if (!Response.IsAvailable) {
    Advice.onEnded(std::nullopt, Timers.now());
    Json Fields = taskFields(Call.Step, 0);
    Fields["workers"] = Call.Workers.size();
    Fields["timeout_ms"] = toMillis(Call.Timeout);
    Hooks.LogEvent("advice_unanswered", std::move(Fields));
    return;
  }
  Advice.onEnded(Response.Tickets.size(), Timers.now());
  // The way of the answer took a part of the time.
  constexpr int64_t UsablePercent = 90;
  constexpr int64_t Percent = 100;
  Duration Usable = milliseconds(Response.ValidityMs * UsablePercent / Percent);
  if (Usable < MinTicketValidity) {
    ++Counters.UselessTickets;
    Json Fields = taskFields(Call.Step, 0);
    Fields["valid_ms"] = Response.ValidityMs;
    Hooks.LogEvent("advice_too_short", std::move(Fields));
  }
  auto Job = Jobs.find(Call.Step.Job);
  StepProgress *Progress =
      Job == Jobs.end() ? nullptr : Job->second->findStep(Call.Step);
  if (Progress == nullptr || Progress->isDone())
    return;
  for (const std::string &Worker : Call.Workers) {
    auto Ticket = Response.Tickets.find(Worker);
    Progress->Advice.TicketsByWorker[Worker] = {
        Ticket == Response.Tickets.end() ? "" : Ticket->second,
        Timers.now() + Usable};
  }
  markPoolDirty(Job->second->Pool);
}

} // namespace mimosashunt
