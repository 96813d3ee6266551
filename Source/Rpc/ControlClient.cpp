#include "Rpc/ControlClient.h"

#include "Rpc/RpcCodec.h"

#include <capnp/rpc-twoparty.h>
#include <exception>
#include <utility>

namespace mimosashunt {

namespace {
constexpr size_t MaxCallsInFlight = 64;
} // namespace

struct ControlClient::Connection {
  explicit Connection(kj::Own<kj::AsyncIoStream> OpenedStream)
      : Stream(kj::mv(OpenedStream)), Client(*Stream),
        Control(Client.bootstrap().castAs<rpc::Control>()) {}

  kj::Own<kj::AsyncIoStream> Stream;
  capnp::TwoPartyClient Client;
  rpc::Control::Client Control;
};

struct ControlClient::State : std::enable_shared_from_this<State> {
  State(RpcLoop &Loop, SocketAddress Address, Duration Timeout)
      : Loop(Loop), Address(std::move(Address)), Timeout(Timeout) {}

  /// A promise that fails once Timeout has passed.
  kj::Promise<void> failAfterTimeout() {
    return Loop.timer()
        .afterDelay(Timeout.count() * kj::MICROSECONDS)
        .then([]() -> kj::Promise<void> {
          return KJ_EXCEPTION(DISCONNECTED, "no response before the timeout");
        });
  }

  /// Returns the open connection. If there is none, starts to open one and
  /// returns null.
  Connection *ensureConnection() {
    if (ActiveConnection.get() == nullptr && !Connecting)
      openConnection();
    return ActiveConnection.get();
  }

  void openConnection() {
    Connecting = true;
    auto Self = shared_from_this();
    auto PendingConnection =
        Loop.network()
            .parseAddress(Address.text())
            .then([](kj::Own<kj::NetworkAddress> Parsed) {
              auto OpenedStream = Parsed->connect();
              return OpenedStream.attach(kj::mv(Parsed));
            })
            .then([Self](kj::Own<kj::AsyncIoStream> OpenedStream) {
              Self->ActiveConnection =
                  kj::heap<Connection>(kj::mv(OpenedStream));
              ++Self->Generation;
            });
    Loop.detach(
        PendingConnection.exclusiveJoin(failAfterTimeout())
            .then([Self]() { Self->Connecting = false; },
                  [Self](kj::Exception &&) { Self->Connecting = false; }));
  }

  /// Drops the connection if it is still the one of the given generation.
  void dropConnection(uint64_t CallGeneration) {
    if (CallGeneration != Generation || ActiveConnection.get() == nullptr)
      return;
    // The connection may be in use further up the call stack, so it is
    // destroyed later.
    Loop.detach(kj::evalLater([Dropped = kj::mv(ActiveConnection)]() {}));
  }

  /// Counts a call as in flight until it ends. If it fails or times out, drops
  /// its connection and calls \p OnFailure.
  void trackCall(kj::Promise<void> Call, std::function<void()> OnFailure) {
    ++InFlight;
    auto Self = shared_from_this();
    uint64_t CallGeneration = Generation;
    Loop.detach(Call.exclusiveJoin(failAfterTimeout())
                    .then([Self]() { --Self->InFlight; },
                          [Self, CallGeneration,
                           OnFailure = std::move(OnFailure)](kj::Exception &&) {
                            --Self->InFlight;
                            Self->dropConnection(CallGeneration);
                            Self->Loop.refresh();
                            OnFailure();
                          }));
  }

  RpcLoop &Loop;
  const SocketAddress Address;
  const Duration Timeout;
  kj::Own<Connection> ActiveConnection;
  bool Connecting = false;
  uint64_t Generation =
      0; // Connections opened so far; identifies the active one.
  size_t InFlight = 0;
};

ControlClient::ControlClient(RpcLoop &Loop, SocketAddress Address,
                             Duration Timeout)
    : SharedState(std::make_shared<State>(Loop, std::move(Address), Timeout)) {}

ControlClient::~ControlClient() = default;

void ControlClient::sendRaft(const RaftMessage &Message,
                             const std::string &TraceParent) {
  Connection *Active = SharedState->ensureConnection();
  if (Active == nullptr || SharedState->InFlight >= MaxCallsInFlight)
    return;
  auto Request = Active->Control.raftRequest();
  writeRaftMessage(Message, Request.initMessage());
  Request.setTraceParent(TraceParent);
  SharedState->trackCall(Request.send().ignoreResult(), [] {});
}

void ControlClient::sendJoin(const Member &Self,
                             const std::string &TraceParent) {
  Connection *Active = SharedState->ensureConnection();
  if (Active == nullptr || SharedState->InFlight >= MaxCallsInFlight)
    return;
  auto Request = Active->Control.joinRequest();
  writeMember(Self, Request.initMember());
  Request.setTraceParent(TraceParent);
  SharedState->trackCall(Request.send().ignoreResult(), [] {});
}

void ControlClient::sync(const EntryReport &Report, const SyncCallback &Done) {
  Connection *Active = SharedState->ensureConnection();
  if (Active == nullptr) {
    Done(std::nullopt);
    return;
  }
  auto Request = Active->Control.syncRequest();
  writeReport(Report, Request.initReport());
  auto OnFailure = [Done] { Done(std::nullopt); };
  auto Call =
      Request.send().then([Done, Loop = &SharedState->Loop](auto Result) {
        Loop->refresh();
        EntryReply Reply;
        try {
          Reply = readReply(Result.getReply());
        } catch (const std::exception &Error) {
          kj::throwFatalException(
              KJ_EXCEPTION(FAILED, "invalid reply", Error.what()));
        }
        Done(std::move(Reply));
      });
  SharedState->trackCall(kj::mv(Call), OnFailure);
}

} // namespace mimosashunt
