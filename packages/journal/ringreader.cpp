#include <journal/ringreader.h>

#include <algorithm>
#include <charconv>

namespace QuetzalRock::detail {

namespace {

constexpr std::size_t SlotDigits = 4;

std::uint64_t parseSlot(std::string_view key, std::string_view prefix)
{
    const std::string_view digits = key.substr(prefix.size());
    std::uint64_t slot = 0;
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), slot);
    if (result.ec != std::errc() || result.ptr != digits.data() + digits.size()) {
        throw LogCorrupt("unexpected key " + std::string(key));
    }
    return slot;
}

/** Requires that each slot contains the latest batch that belongs to it, without gaps up to @p head. */
void requireCompleteSequence(std::span<const Batch> batches, std::uint64_t head, std::uint32_t slots)
{
    const std::uint64_t first = head > slots ? head - slots + 1 : 1;
    if (batches.size() != head - first + 1) {
        throw LogCorrupt(std::to_string(batches.size()) + " batches found, expected " + std::to_string(first) + " to "
                         + std::to_string(head) + " without gaps");
    }
    std::uint64_t expected = first;
    for (const Batch &it : batches) {
        if (it.header.sequence != expected) {
            throw LogCorrupt("batch " + std::to_string(expected) + " is missing");
        }
        ++expected;
    }
}

void requireValidEpochs(std::span<const Batch> batches)
{
    const bool startsAtFirstBatch = batches.front().header.sequence == 1;
    if (startsAtFirstBatch && batches.front().header.kind != BatchKind::Takeover) {
        throw LogCorrupt("batch 1 is not a takeover");
    }
    for (std::size_t i = 1; i < batches.size(); ++i) {
        const BatchHeader &before = batches[i - 1].header;
        const BatchHeader &it = batches[i].header;
        const bool isTakeover = it.kind == BatchKind::Takeover;
        const bool sameOwner = it.epoch == before.epoch && it.writer == before.writer;
        if (isTakeover ? it.epoch != before.epoch + 1 : !sameOwner) {
            throw LogCorrupt("batch " + std::to_string(it.sequence) + " has epoch " + std::to_string(it.epoch)
                             + ", which no takeover began");
        }
    }
}

} // namespace

std::optional<SnapshotRef> Ring::snapshot() const
{
    if (live.empty() || live.front().header.kind != BatchKind::Snapshot) {
        return std::nullopt;
    }
    return live.front().snapshot;
}

std::string slotPrefix(std::string_view name)
{
    return "journal/" + std::string(name) + "/";
}

std::string slotKey(std::string_view name, std::uint64_t slot)
{
    std::string digits = std::to_string(slot);
    digits.insert(0, SlotDigits - std::min(SlotDigits, digits.size()), '0');
    return slotPrefix(name) + digits;
}

Ring readRing(std::span<const KeyValue> slots, std::string_view name)
{
    Ring ring;
    if (slots.empty()) {
        return ring;
    }
    const std::string prefix = slotPrefix(name);
    std::vector<Batch> batches;
    batches.reserve(slots.size());
    for (const KeyValue &it : slots) {
        Batch batch = decodeBatch(it.value);
        const std::uint64_t slot = parseSlot(it.key, prefix);
        if (ring.slots == 0) {
            ring.slots = batch.header.slots;
            ring.slotRevisions.assign(ring.slots, 0);
        }
        if (batch.header.slots != ring.slots || slot >= ring.slots || batch.header.sequence % ring.slots != slot) {
            throw LogCorrupt("batch " + std::to_string(batch.header.sequence) + " is in the wrong slot "
                             + std::to_string(slot));
        }
        ring.slotRevisions[slot] = it.revision;
        batches.push_back(std::move(batch));
    }
    std::ranges::sort(batches, {}, [](const Batch &it) { return it.header.sequence; });
    ring.head = batches.back().header.sequence;
    ring.epoch = batches.back().header.epoch;
    ring.owner = batches.back().header.writer;
    requireCompleteSequence(batches, ring.head, ring.slots);
    requireValidEpochs(batches);
    const auto isSnapshot = [](const Batch &it) { return it.header.kind == BatchKind::Snapshot; };
    const auto last = std::find_if(batches.rbegin(), batches.rend(), isSnapshot);
    const auto first = last == batches.rend() ? batches.begin() : std::prev(last.base());
    ring.base = first->header.sequence;
    if (last == batches.rend() && ring.base != 1) {
        throw LogCorrupt("the last snapshot has been overwritten");
    }
    ring.live.assign(std::make_move_iterator(first), std::make_move_iterator(batches.end()));
    return ring;
}

} // namespace QuetzalRock::detail
