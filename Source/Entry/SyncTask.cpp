#include "Entry/SyncTask.h"

#include <utility>

namespace mimosashunt {

namespace {
constexpr Duration CallTimeout = milliseconds(800);
} // namespace

SyncTask::SyncTask(EventLoop &ReplyLoop,
                   std::vector<SocketAddress> ControlAddresses)
    : ReplyLoop(ReplyLoop), ControlAddresses(std::move(ControlAddresses)),
      Thread([this] {
        Loop.run(
            [this] {
              for (const SocketAddress &Address : this->ControlAddresses)
                Clients.push_back(std::make_unique<ControlClient>(Loop, Address,
                                                                  CallTimeout));
            },
            [this] { Clients.clear(); });
      }) {}

SyncTask::~SyncTask() {
  Loop.stop();
  Thread.join();
}

void SyncTask::send(EntryReport Report, ReplyCallback OnReply) {
  Loop.post([this, Report = std::move(Report), OnReply = std::move(OnReply)] {
    Clients[LeaderIndex]->sync(Report, [this, OnReply](
                                           std::optional<EntryReply> Reply) {
      updateLeader(Reply);
      ReplyLoop.post([OnReply, Reply = std::move(Reply)] { OnReply(Reply); });
    });
  });
}

void SyncTask::updateLeader(const std::optional<EntryReply> &Reply) {
  bool FromLeader = Reply && Reply->Status != SyncStatus::NotLeader;
  if (FromLeader)
    return;
  if (Reply)
    for (size_t I = 0; I < ControlAddresses.size(); ++I)
      if (I != LeaderIndex &&
          ControlAddresses[I].text() == Reply->LeaderAddress) {
        LeaderIndex = I;
        return;
      }
  LeaderIndex = (LeaderIndex + 1) % ControlAddresses.size();
}

} // namespace mimosashunt
