#include "membership/datagram_sender.h"

#include <variant>

namespace postspread::membership {

DatagramSender::DatagramSender(Context& context, const MemberTable& table, GossipQueue& gossip,
                               ViewSync& sync, SendBudget& budget)
    : context_(context),
      table_(table),
      gossip_(gossip),
      sync_(sync),
      budget_(budget),
      group_(DigestGroup(context.limits.name)) {}

bool DatagramSender::Send(PeerId to, Priority priority, const Draft& draft) {
  if (table_.superseded() || !budget_.TryConsume(priority)) return false;
  const MemberRecord& self = table_.self();
  const Message head{.body = draft.body,
                     .number = draft.number,
                     .view_hash = static_cast<std::uint32_t>(table_.hash()),
                     .sender = {self.name, 0, self.update, EntryKind::kGossip}};
  Writer writer(group_, head, context_.limits.datagram);
  if (const MemberRecord* subject = draft.subject; subject != nullptr) {
    writer.Add(subject->name, subject->peer, subject->update, EntryKind::kSync);
  }
  gossip_.Piggyback(writer, draft.subject);
  if (draft.sync) {
    const SyncPosition next = sync_.Fill(writer, *draft.sync);
    // A reply uses the position in its request, and does not advance this member's own.
    if (!std::holds_alternative<Ack>(draft.body)) sync_.set_send_position(next);
  }
  out_.push_back({to, std::move(writer).Seal()});
  ++context_.counts.sent;
  context_.counts.bytes_sent += out_.back().bytes.size();
  return true;
}

}  // namespace postspread::membership
