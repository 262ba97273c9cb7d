/** Strict reading of a journal's ring: either the complete sequence since the last snapshot, or an error. */
#pragma once

#include <journal/format.h>
#include <platform/platform.h>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace QuetzalRock::detail {

/** A journal's ring as read. */
struct Ring
{
    std::uint32_t slots = 0; ///< 0: nothing has been written yet
    std::uint64_t head = 0;  ///< last sequence written
    std::uint64_t base = 1;  ///< first sequence that replay needs: the last snapshot, or the very first batch
    std::uint64_t epoch = 0; ///< of the head
    std::string owner;       ///< writer of the head
    std::vector<Batch> live; ///< base to head, in order
    std::vector<Revision> slotRevisions; ///< by slot; 0 where there is no key

    std::optional<SnapshotRef> snapshot() const;
};

std::string slotKey(std::string_view name, std::uint64_t slot); ///< such as "journal/muuga/0007"
std::string slotPrefix(std::string_view name);

/**
 * Puts the listed slot keys in order. Throws LogCorrupt where a slot is missing, holds a sequence that the head has left
 * behind, or belongs to an epoch that no takeover began; FormatTooNew where a newer version wrote one.
 */
Ring readRing(std::span<const KeyValue> slots, std::string_view name);

} // namespace QuetzalRock::detail
