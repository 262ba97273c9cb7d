#include <journal/memorylog.h>

namespace QuetzalRock {

namespace {

bool consumeOne(int &counter)
{
    if (counter <= 0) {
        return false;
    }
    --counter;
    return true;
}

} // namespace

MemoryLog::MemoryLog(MemoryLogStore &store)
    : m_store(store)
{
}

Replay MemoryLog::takeOver()
{
    if (down || consumeOne(refuseWrites)) {
        throw Unavailable("memory log: unavailable");
    }
    m_epoch = ++m_store.epoch;
    m_inDoubt = InDoubt::Nothing;
    return {m_epoch, m_store.snapshot, m_store.records};
}

void MemoryLog::append(std::span<const std::string> records)
{
    requireOwner();
    std::size_t n = 0;
    for (const std::string &it : records) {
        n += it.size();
    }
    if (n > batchBytes) {
        throw InvalidArgument("records", "memory log: batch exceeds batchBytes");
    }
    write({{records.begin(), records.end()}, std::nullopt});
}

bool MemoryLog::resolve()
{
    if (m_inDoubt == InDoubt::Nothing) {
        throw InvalidArgument("resolve", "memory log: nothing is in doubt");
    }
    if (down) {
        throw OutcomeUnknown("memory log: still in doubt");
    }
    const InDoubt inDoubt = m_inDoubt;
    m_inDoubt = InDoubt::Nothing;
    if (inDoubt == InDoubt::Written) {
        return true; // even if another owner has taken over since
    }
    if (m_epoch != m_store.epoch) {
        m_epoch = 0;
        throw Fenced("memory log: another owner has taken over");
    }
    if (inDoubt == InDoubt::Dropped) {
        return false;
    }
    apply(m_pending);
    return true;
}

void MemoryLog::snapshot(std::string_view state)
{
    requireOwner();
    write({{}, std::string(state)});
}

bool MemoryLog::snapshotDue() const
{
    return m_epoch != 0 && m_store.appendsSinceSnapshot >= snapshotEvery;
}

std::size_t MemoryLog::maxBatchBytes() const
{
    return batchBytes;
}

std::uint64_t MemoryLog::epoch() const
{
    return m_epoch;
}

void MemoryLog::requireOwner()
{
    if (m_inDoubt != InDoubt::Nothing) {
        throw OutcomeUnknown("memory log: a batch is in doubt; call resolve() first");
    }
    if (m_epoch == 0) {
        throw Fenced("memory log: not the owner");
    }
}

void MemoryLog::write(Write write)
{
    if (down || consumeOne(refuseWrites)) {
        throw Unavailable("memory log: unavailable");
    }
    const bool lost = consumeOne(loseWrites);
    const bool dropped = !lost && consumeOne(dropWrites);
    if (lost || dropped) {
        m_pending = std::move(write);
        m_inDoubt = lost ? InDoubt::InFlight : InDoubt::Dropped;
        throw OutcomeUnknown("memory log: write lost");
    }
    if (m_epoch != m_store.epoch) {
        m_epoch = 0;
        throw Fenced("memory log: another owner has taken over");
    }
    apply(write);
    if (consumeOne(loseWriteAnswers)) {
        m_inDoubt = InDoubt::Written;
        throw OutcomeUnknown("memory log: answer lost");
    }
}

void MemoryLog::apply(const Write &write)
{
    if (write.state) {
        m_store.snapshot = *write.state;
        m_store.records.clear();
        ++m_store.snapshots;
        m_store.appendsSinceSnapshot = 0;
        return;
    }
    m_store.records.insert(m_store.records.end(), write.records.begin(), write.records.end());
    ++m_store.appends;
    ++m_store.appendsSinceSnapshot;
}

} // namespace QuetzalRock
