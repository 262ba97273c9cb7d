/**
 * The log in memory, for tests of whatever stands on a log.
 *
 * Index of this file
 *   MemoryLogStore   what is durable; candidates that share one store are rivals
 *   MemoryLog        Log over such a store, with faults that a test switches on
 */
#pragma once

#include <journal/log.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace QuetzalRock {

/** Outlives its logs, as the service outlives its clients. */
struct MemoryLogStore
{
    std::uint64_t epoch = 0;
    std::string snapshot;
    std::vector<std::string> records; ///< since the snapshot
    std::uint64_t appendsSinceSnapshot = 0;
    std::uint64_t appends = 0;   ///< batches ever written
    std::uint64_t snapshots = 0; ///< ever written
};

class MemoryLog final : public Log
{
public:
    explicit MemoryLog(MemoryLogStore &store);

    bool down = false;              ///< every call throws Unavailable, resolve() OutcomeUnknown; nothing changes
    int refuseWrites = 0;           ///< so many next writes throw Unavailable; nothing changes
    int loseWriteAnswers = 0;       ///< so many next writes take effect and throw OutcomeUnknown
    int loseWrites = 0;             ///< so many next writes throw OutcomeUnknown; resolve() then carries them through
    int dropWrites = 0;             ///< so many next writes throw OutcomeUnknown; resolve() then answers false
    std::size_t snapshotEvery = 64; ///< appends after which snapshotDue() is true
    std::size_t batchBytes = 256 * 1024; ///< answer of maxBatchBytes()

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
    enum class InDoubt : std::uint8_t {
        Nothing,
        Written,
        OnItsWay,
        Dropped,
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
