// Runs the load generator and prints its report as JSON.

#include "Daemon/Signals.h"
#include "StandIns/AddressFlags.h"
#include "StandIns/LoadGenerator.h"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(entries, "", "addresses of entry VMs for callers, with commas");
DEFINE_string(key_file, "", "file that holds the team's key; may be empty");
DEFINE_string(queue, "", "queue to send to");
DEFINE_uint64(count, 1000, "requests to send");
DEFINE_uint32(concurrency, 32, "senders at once");
DEFINE_int32(seconds, 0, "stop after this time; 0 sends all");
DEFINE_int32(pause_ms, 0, "pause of each sender between requests");
DEFINE_bool(post, true, "POST, which is not idempotent, instead of PUT");
DEFINE_bool(ids, false, "send request ids, and resend under them");
DEFINE_uint32(body_bytes, 64, "bytes of each request's body");
DEFINE_bool(direct, false, "send to a server without entry VMs, as baseline");
DEFINE_string(trace_file, "", "file to which spans are appended");
DEFINE_uint32(trace_every, 100, "sample one trace in so many requests");

using namespace mimosashunt;

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  blockStopSignals();
  LoadOptions Options;
  Options.Entries = readAddresses("entries", FLAGS_entries);
  if (!FLAGS_key_file.empty()) {
    std::ifstream In(FLAGS_key_file);
    In >> Options.Key;
  }
  Options.Queue = FLAGS_queue;
  Options.Count = FLAGS_count;
  Options.Concurrency = FLAGS_concurrency;
  Options.TimeLimit = seconds(FLAGS_seconds);
  Options.Pause = milliseconds(FLAGS_pause_ms);
  Options.Post = FLAGS_post;
  Options.WithIds = FLAGS_ids;
  Options.BodyBytes = FLAGS_body_bytes;
  Options.Direct = FLAGS_direct;
  Options.TraceFile = FLAGS_trace_file;
  Options.TraceEvery = FLAGS_trace_every;
  LoadGenerator Load(Options);
  std::cout << Load.run().dump(2) << std::endl;
  return EXIT_SUCCESS;
}
