/** Strict reader of a journal's ring: returns the complete sequence since the last snapshot, or throws. */
#pragma once

#include <journal/format.h>
#include <platform/platform.h>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace QuetzalRock::detail {

/** Content of a journal's ring. */
struct Ring
{
    std::uint32_t slots = 0;             ///< number of slots; 0: nothing has been written yet
    std::uint64_t head = 0;              ///< sequence of the last batch
    std::uint64_t base = 1;              ///< first sequence needed for replay: the last snapshot, or else batch 1
    std::uint64_t epoch = 0;             ///< epoch of the last batch
    std::string owner;                   ///< writer of the last batch
    std::vector<Batch> live;             ///< batches from base to head, in order
    std::vector<Revision> slotRevisions; ///< by slot; 0 if the key does not exist

    std::optional<SnapshotRef> snapshot() const; ///< the live snapshot; unset if none was written yet
};

std::string slotKey(std::string_view name, std::uint64_t slot); ///< for example "journal/muuga/0007"
std::string slotPrefix(std::string_view name);

/**
 * Decodes and orders the values of the slot keys. Throws LogCorrupt if a slot is missing, contains an outdated sequence
 * or an epoch that no takeover began; FormatTooNew if a newer version of the program wrote it.
 */
Ring readRing(std::span<const KeyValue> slots, std::string_view name);

} // namespace QuetzalRock::detail
