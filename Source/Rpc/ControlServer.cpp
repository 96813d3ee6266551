#include "Rpc/ControlServer.h"

#include "Rpc/RpcCodec.h"

#include <exception>
#include <utility>

namespace mimosashunt {

namespace {

class ControlService final : public rpc::Control::Server {
public:
  ControlService(RpcLoop &Loop, ControlHandlers Handlers)
      : Loop(Loop), Handlers(std::move(Handlers)) {}

  kj::Promise<void> raft(RaftContext Context) override {
    return runHandler([&] {
      auto Params = Context.getParams();
      std::string TraceParent = Params.getTraceParent();
      Handlers.Raft(readRaftMessage(Params.getMessage()), TraceParent);
    });
  }

  kj::Promise<void> join(JoinContext Context) override {
    return runHandler([&] {
      auto Params = Context.getParams();
      std::string TraceParent = Params.getTraceParent();
      Handlers.Join(readMember(Params.getMember()), TraceParent);
    });
  }

  kj::Promise<void> sync(SyncContext Context) override {
    return runHandler([&] {
      EntryReply Reply =
          Handlers.Sync(readReport(Context.getParams().getReport()));
      writeReply(Reply, Context.getResults().initReply());
    });
  }

private:
  // Runs a handler. An invalid message fails the call and never terminates the
  // process.
  template <class Function> kj::Promise<void> runHandler(Function Handler) {
    Loop.refresh();
    try {
      Handler();
    } catch (const std::exception &Error) {
      return KJ_EXCEPTION(FAILED, "invalid message", Error.what());
    }
    return kj::READY_NOW;
  }

  RpcLoop &Loop;
  ControlHandlers Handlers;
};

} // namespace

ControlServer::ControlServer(RpcLoop &Loop, ControlHandlers Handlers)
    : Loop(Loop), Server(kj::heap<capnp::TwoPartyServer>(
                      kj::heap<ControlService>(Loop, std::move(Handlers)))) {}

void ControlServer::serve(int Descriptor) {
  Receiver = Loop.lowLevel().wrapListenSocketFd(
      Descriptor, kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP |
                      kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
  Loop.detach(Server->listen(*Receiver));
}

} // namespace mimosashunt
