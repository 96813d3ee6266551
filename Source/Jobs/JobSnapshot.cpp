#include "Jobs/JobSnapshot.h"

#include "Jobs/Limits.h"

#include <algorithm>
#include <exception>
#include <optional>
#include <string_view>
#include <utility>

namespace mimosashunt {

/// An open occurrence as written.
struct StoredOccurrence {
  uint32_t Number = 0;
  OccurrenceTasks Tasks;

  static void describe(auto &Self, auto Field) {
    Field("k", Self.Number);
    Field("tasks", Self.Tasks);
  }
};

/// The tombstones of one owner as written.
struct StoredTombstones {
  JobOwner Owner;
  Tombstones::EndsByJob Ends;

  static void describe(auto &Self, auto Field) {
    Field("owner", Self.Owner);
    Field("ends", Self.Ends);
  }
};

namespace {

/// Most tasks of recurring jobs that a snapshot holds one by one. Earlier
/// versions read jobs in this form alone, in memory that grows with their
/// tasks; what goes beyond this is written with its open occurrences alone.
constexpr uint64_t MaxFullyWrittenTasks = 90000;

/// Writes pairs of a map of which the caller knows the number.
template <class T>
void writePair(CborWriter &Out, const char *Key, const T &Value) {
  Out.text(Key);
  cbor_fields::writeValue(Out, Value);
}

OccurrenceTasks makeTasks(const JobSpec &Spec, bool Done) {
  OccurrenceTasks Tasks;
  for (const StepSpec &Step : Spec.Steps)
    Tasks.emplace_back(Step.Count, TaskRecord{Done, {}});
  return Tasks;
}

/// Writes the tasks of each occurrence, one after another.
void writeAllOccurrences(CborWriter &Out, const JobRecord &Record) {
  Out.text("tasks");
  if (Record.hasEnded())
    return Out.array(0);
  const JobSpec &Spec = Record.Job.Spec;
  const OccurrenceTasks Untouched = makeTasks(Spec, /*Done=*/false);
  const OccurrenceTasks Ended = makeTasks(Spec, /*Done=*/true);
  Out.array(Spec.Recurrence.occurrences());
  for (uint32_t K = 0; K < Spec.Recurrence.occurrences(); ++K) {
    const OccurrenceTasks *Known = Record.Tasks.find(K);
    if (Known == nullptr)
      Known = Record.Tasks.hasEnded(K) ? &Ended : &Untouched;
    cbor_fields::writeValue(Out, *Known);
  }
}

void writeOpenOccurrences(CborWriter &Out, const TaskRecords &Tasks) {
  std::vector<StoredOccurrence> Opened;
  for (const auto &[Number, Open] : Tasks.openOccurrences())
    Opened.push_back({Number, Open.Tasks});
  writePair(Out, "opened", Opened);
  writePair(Out, "ended", Tasks.endedOccurrences());
}

void writeJob(CborWriter &Out, const JobRecord &Record, bool IsInFull) {
  constexpr size_t PairsInFull = 8;
  constexpr size_t PairsOfOpen = 9;
  Out.map(IsInFull ? PairsInFull : PairsOfOpen);
  writePair(Out, "job", Record.Job);
  writePair(Out, "state", Record.State);
  writePair(Out, "open", Record.Tasks.unfinishedTasks());
  writePair(Out, "losses", Record.Losses);
  writePair(Out, "placements", Record.Placements);
  writePair(Out, "version", Record.ConfigurationVersion);
  writePair(Out, "endedAt", Record.EndedAt);
  if (IsInFull)
    writeAllOccurrences(Out, Record);
  else
    writeOpenOccurrences(Out, Record.Tasks);
}

/// Returns how many tasks the full form of a job has beyond those of a job that
/// does not recur.
uint64_t recurringTasks(const JobRecord &Record) {
  const JobSpec &Spec = Record.Job.Spec;
  uint32_t Occurrences = Spec.Recurrence.occurrences();
  bool IsShort = Occurrences == 1 || Record.hasEnded();
  // An occurrence takes some bytes even without tasks.
  return IsShort
             ? 0
             : Occurrences * std::max<uint64_t>(tasksPerOccurrence(Spec), 1);
}

void writeJobs(CborWriter &Out, const std::map<JobId, JobRecord> &Jobs) {
  Out.text("jobs");
  Out.array(Jobs.size());
  uint64_t Left = MaxFullyWrittenTasks;
  for (const auto &[Id, Record] : Jobs) {
    uint64_t Tasks = recurringTasks(Record);
    bool IsInFull = Tasks <= Left;
    Left -= IsInFull ? Tasks : 0;
    writeJob(Out, Record, IsInFull);
  }
}

/// Writes the values of a map as an array.
template <class Map>
void writeValues(CborWriter &Out, const char *Key, const Map &Items) {
  Out.text(Key);
  Out.array(Items.size());
  for (const auto &[Id, Item] : Items)
    cbor_fields::writeValue(Out, Item);
}

void writeTombstones(CborWriter &Out, const Tombstones &Ids) {
  writePair(Out, "logTime", Ids.now());
  Out.text("tombstones");
  Out.array(Ids.byOwner().size());
  for (const auto &[Owner, Ends] : Ids.byOwner())
    cbor_fields::writeValue(Out, StoredTombstones{Owner, Ends});
}

/// Reads one encoded value whose fields may be in any order. Throws an
/// exception derived from std::exception if it cannot be read.
template <class T> T readEncoded(std::string_view Bytes) {
  try {
    T Value{};
    CborReader In(Bytes);
    cbor_fields::readValue(In, Value);
    return Value;
  } catch (const CborError &) {
    T Value{};
    readJson(readCbor(std::string(Bytes)), Value);
    return Value;
  }
}

/// A map whose pairs are read on demand, in any order.
class EncodedMap {
public:
  explicit EncodedMap(std::string_view Bytes) {
    CborReader In(Bytes);
    for (size_t Left = In.map(); Left > 0; --Left) {
      std::string_view Key = In.text();
      Pairs[Key] = In.encoded();
    }
    if (!In.isAtEnd())
      throw CborError("more than one value");
  }

  bool has(std::string_view Key) const { return Pairs.count(Key) > 0; }
  /// Throws std::out_of_range if there is no such pair.
  std::string_view at(std::string_view Key) const { return Pairs.at(Key); }
  template <class T> void read(std::string_view Key, T &Value) const {
    Value = readEncoded<T>(at(Key));
  }
  template <class T> void readIfPresent(std::string_view Key, T &Value) const {
    if (has(Key))
      read(Key, Value);
  }

private:
  std::map<std::string_view, std::string_view> Pairs;
};

/// Calls \p Read with each encoded element of an array.
template <class Function>
void forEachElement(std::string_view Array, Function Read) {
  CborReader In(Array);
  for (size_t Left = In.array(); Left > 0; --Left)
    Read(In.encoded());
}

bool isUntouched(const OccurrenceTasks &Tasks) {
  return std::all_of(Tasks.begin(), Tasks.end(), [](const auto &Step) {
    return std::all_of(Step.begin(), Step.end(), [](const TaskRecord &Task) {
      return !Task.Done && Task.FailedAttempts.empty();
    });
  });
}

bool areAllDone(const OccurrenceTasks &Tasks) {
  return std::all_of(Tasks.begin(), Tasks.end(), [](const auto &Step) {
    return std::all_of(Step.begin(), Step.end(),
                       [](const TaskRecord &Task) { return Task.Done; });
  });
}

/// Tells of a snapshot whose parts contradict each other.
class InconsistentState : public std::exception {
public:
  const char *what() const noexcept override { return "inconsistent state"; }
};

void require(bool Condition) {
  if (!Condition)
    throw InconsistentState();
}

/// Throws if the tasks of all occurrences are not those of the job.
void checkShape(const JobSpec &Spec, const OccurrenceTasks &Tasks) {
  require(Tasks.size() == Spec.Steps.size());
  for (size_t I = 0; I < Tasks.size(); ++I)
    require(Tasks[I].size() == Spec.Steps[I].Count);
}

void addEnded(std::vector<OccurrenceRange> &Ended, uint32_t Number) {
  if (Ended.empty() || Ended.back().End != Number)
    Ended.push_back({Number, Number});
  Ended.back().End = Number + 1;
}

/// Reads the tasks of a job that has not ended.
TaskRecords readTasks(const EncodedMap &In, const JobSpec &Spec) {
  std::map<uint32_t, OccurrenceTasks> Opened;
  std::vector<OccurrenceRange> Ended;
  if (In.has("tasks")) {
    uint32_t Number = 0;
    forEachElement(In.at("tasks"), [&](std::string_view Bytes) {
      auto Tasks = readEncoded<OccurrenceTasks>(Bytes);
      checkShape(Spec, Tasks);
      // An occurrence without tasks never ends.
      if (isUntouched(Tasks))
        ++Number;
      else if (areAllDone(Tasks))
        addEnded(Ended, Number++);
      else
        Opened.emplace(Number++, std::move(Tasks));
    });
    require(Number == Spec.Recurrence.occurrences());
  } else {
    for (StoredOccurrence &Occurrence :
         readEncoded<std::vector<StoredOccurrence>>(In.at("opened")))
      require(Opened.emplace(Occurrence.Number, std::move(Occurrence.Tasks))
                  .second);
    In.read("ended", Ended);
  }
  TaskRecords Result;
  require(Result.restore(Spec, Opened, Ended));
  require(Result.unfinishedTasks() == readEncoded<uint64_t>(In.at("open")));
  return Result;
}

JobRecord readJob(std::string_view Bytes) {
  EncodedMap In(Bytes);
  JobRecord Record;
  In.read("job", Record.Job);
  In.read("state", Record.State);
  In.readIfPresent("losses", Record.Losses);
  In.readIfPresent("placements", Record.Placements);
  In.readIfPresent("version", Record.ConfigurationVersion);
  In.readIfPresent("endedAt", Record.EndedAt);
  const JobSpec &Spec = Record.Job.Spec;
  require(Record.State <= JobState::Cancelled && isConsistent(Spec));
  if (!Record.hasEnded())
    Record.Tasks = readTasks(In, Spec);
  for (const TaskLosses &Known : Record.Losses)
    require(Record.hasEnded() ||
            (Known.Task.Job == Record.Job.Job && hasTask(Spec, Known.Task)));
  clampAmounts(Record.Job.Spec);
  return Record;
}

void readTombstones(const EncodedMap &In, Tombstones &Ids) {
  LogMillis Now = 0;
  std::vector<StoredTombstones> Owners;
  In.readIfPresent("logTime", Now);
  In.readIfPresent("tombstones", Owners);
  Ids.advance(Now);
  for (const StoredTombstones &Stored : Owners)
    for (const auto &[Job, EndsAt] : Stored.Ends)
      Ids.add({Stored.Owner, Job, EndsAt});
}

void readState(const EncodedMap &In, JobStoreState &State) {
  forEachElement(In.at("jobs"), [&State](std::string_view Bytes) {
    JobRecord Record = readJob(Bytes);
    JobId Id = Record.Job.Job;
    State.Jobs.emplace(std::move(Id), std::move(Record));
  });
  In.read("version", State.ConfigurationVersion);
  In.read("text", State.ConfigurationText);
  for (WorkerEntry &Entry :
       readEncoded<std::vector<WorkerEntry>>(In.at("workers"))) {
    Entry.Capacity = clampAmounts(Entry.Capacity);
    State.Workers.emplace(Entry.Key, Entry);
  }
  for (WaveRecord &Wave : readEncoded<std::vector<WaveRecord>>(In.at("waves")))
    State.Waves.emplace(Wave.Plan.Wave, Wave);
  In.read("leaderships", State.Leaderships);
  std::vector<SetEvacuation> Evacuations;
  In.readIfPresent("evacuations", Evacuations);
  for (SetEvacuation &Order : Evacuations)
    State.Evacuations.emplace(Order.DataCentre, Order);
  In.readIfPresent("usage", State.Usage);
  In.readIfPresent("runTimes", State.RunTimes);
  readTombstones(In, State.CancelledIds);
}

} // namespace

std::string encodeSnapshot(const JobStoreState &State) {
  std::string Bytes;
  CborWriter Out(Bytes);
  constexpr size_t Pairs = 11;
  Out.map(Pairs);
  writeJobs(Out, State.Jobs);
  writePair(Out, "version", State.ConfigurationVersion);
  writePair(Out, "text", State.ConfigurationText);
  writeValues(Out, "workers", State.Workers);
  writeValues(Out, "waves", State.Waves);
  writePair(Out, "leaderships", State.Leaderships);
  writeValues(Out, "evacuations", State.Evacuations);
  writePair(Out, "usage", State.Usage);
  writePair(Out, "runTimes", State.RunTimes);
  writeTombstones(Out, State.CancelledIds);
  // It is kept for long.
  Bytes.shrink_to_fit();
  return Bytes;
}

bool decodeSnapshot(const std::string &Bytes, JobStoreState &Result) {
  try {
    readState(EncodedMap(Bytes), Result);
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

} // namespace mimosashunt
