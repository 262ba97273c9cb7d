/**
 * In-memory fake of a log, for tests of code that uses a log.
 *
 * Index of this file
 *   MemoryLogStore   the durable content; logs that share one store compete for ownership
 *   MemoryLog        Log on top of such a store, with fault injection
 */
#pragma once

#include <journal/log.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace QuetzalRock {

/** Durable content of the fake. Must outlive the logs that use it. */
struct MemoryLogStore
{
    std::uint64_t epoch = 0;
    std::string snapshot;
    std::vector<std::string> records; ///< appended since the snapshot
    std::uint64_t appendsSinceSnapshot = 0;
    std::uint64_t appends = 0;   ///< total of batches written
    std::uint64_t snapshots = 0; ///< total of snapshots written
};

class MemoryLog final : public Log
{
public:
    explicit MemoryLog(MemoryLogStore &store);

    // Faults and limits. The int members are the number of next writes that fail; each failure decrements its member.
    bool down = false;              ///< every call throws Unavailable (resolve(): OutcomeUnknown) and changes nothing
    int refuseWrites = 0;           ///< throw Unavailable and change nothing; takeOver() counts as a write here
    int loseWriteAnswers = 0;       ///< take effect, but throw OutcomeUnknown
    int loseWrites = 0;             ///< throw OutcomeUnknown without effect; resolve() then performs the write
    int dropWrites = 0;             ///< throw OutcomeUnknown without effect; resolve() then returns false
    std::size_t snapshotEvery = 64; ///< number of appends after which snapshotDue() is true
    std::size_t batchBytes = 256 * 1024; ///< value of maxBatchBytes()

    Replay takeOver() override;
    void append(std::span<const std::string> records) override;
    bool resolve() override;
    void snapshot(std::string_view state) override;
    bool snapshotDue() const override;
    std::size_t maxBatchBytes() const override;
    std::uint64_t epoch() const override;

private:
    /** A batch of records, or a snapshot. */
    struct Write
    {
        std::vector<std::string> records;
        std::optional<std::string> state;
    };
    /** True outcome of the write in doubt. */
    enum class InDoubt : std::uint8_t {
        Nothing,  ///< no write is in doubt
        Written,  ///< took effect, the answer was lost
        InFlight, ///< not written yet; resolve() writes it unless another owner has taken over
        Dropped,  ///< not written; resolve() returns false
    };

    void requireOwner();
    void write(Write write);
    void apply(const Write &write);

    MemoryLogStore &m_store;
    std::uint64_t m_epoch = 0;
    InDoubt m_inDoubt = InDoubt::Nothing;
    Write m_pending;
};

} // namespace QuetzalRock
