#include <requests/claims.h>

#include <msgpack.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <cstring>

namespace QuetzalRock {

namespace {

constexpr int FormatVersion = 1;

enum RecordKind : int {
    RecordClaim = 1,
    RecordEnd = 2,
    RecordRelease = 3,
};

using Packer = msgpack::packer<msgpack::sbuffer>;

std::string toBytes(const msgpack::sbuffer &buf)
{
    return {buf.data(), buf.size()};
}

std::string digestOf(std::string_view key)
{
    const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
    std::string digest(sizeof hash, '\0');
    std::memcpy(digest.data(), &hash, sizeof hash);
    return digest;
}

std::size_t answerBytes(const CallerResponse &answer)
{
    std::size_t n = answer.body.size();
    for (const HeaderField &it : answer.headers) {
        n += it.name.size() + it.value.size();
    }
    return n;
}

void packAnswer(Packer &packer, const CallerResponse &answer)
{
    packer.pack_array(3);
    packer.pack(answer.status);
    packer.pack_array(static_cast<std::uint32_t>(answer.headers.size() * 2));
    for (const HeaderField &it : answer.headers) {
        packer.pack(it.name);
        packer.pack(it.value);
    }
    packer.pack(answer.body);
}

CallerResponse unpackAnswer(const msgpack::object &object)
{
    const auto &fields = object.via.array;
    CallerResponse answer;
    answer.status = fields.ptr[0].as<int>();
    const auto headers = fields.ptr[1].as<std::vector<std::string>>();
    for (std::size_t i = 0; i + 1 < headers.size(); i += 2) {
        answer.headers.push_back({headers[i], headers[i + 1]});
    }
    answer.body = fields.ptr[2].as<std::string>();
    return answer;
}

} // namespace

std::string claimKey(std::string_view tenant, std::string_view idempotencyKey)
{
    std::string key(tenant);
    key += '\n'; // occurs neither in the tenant nor in the key
    key += idempotencyKey;
    return key;
}

std::uint64_t requestDigest(const CallerRequest &request)
{
    std::string head = request.method + "\n" + request.target + "\n";
    return XXH3_64bits_withSeed(request.body.data(), request.body.size(), XXH3_64bits(head.data(), head.size()));
}

ClaimTable::ClaimTable(const RequestSettings &settings)
    : m_settings(settings)
{
}

// ---------------------------------------------------------------------------------------------------------------------
// Claims and their ends
// ---------------------------------------------------------------------------------------------------------------------

ClaimReply ClaimTable::replyTo(const Claim &claim, const ClaimRequest &request) const
{
    if (claim.bodyDigest != request.bodyDigest) {
        return {ClaimVerdict::Mismatch, {}};
    }
    switch (claim.state) {
    case State::Running:
        return {claim.claimant == request.claimant ? ClaimVerdict::Granted : ClaimVerdict::Waiting, {}};
    case State::Done:
        return {ClaimVerdict::Done, claim.answer};
    case State::AnswerNotStored:
        return {ClaimVerdict::AnswerNotStored, {}};
    case State::Unknown:
        break;
    }
    return {ClaimVerdict::Unknown, {}};
}

ClaimTable::Decision ClaimTable::claim(const ClaimRequest &request, TimePoint now)
{
    expire(now);
    const Digest digest = digestOf(request.key);
    const auto known = m_claims.find(digest);
    if (known != m_claims.end()) {
        return {replyTo(known->second, request), {}};
    }
    if (m_claims.size() >= m_settings.maxClaims) {
        return {{ClaimVerdict::Unavailable, {}}, {}};
    }
    Claim claim;
    claim.bodyDigest = request.bodyDigest;
    claim.claimant = request.claimant;
    m_claims.emplace(digest, std::move(claim));
    ++m_running;
    msgpack::sbuffer buf;
    Packer packer(buf);
    packer.pack_array(5);
    packer.pack(FormatVersion);
    packer.pack(static_cast<int>(RecordClaim));
    packer.pack(digest);
    packer.pack(request.bodyDigest);
    packer.pack(request.claimant);
    return {{ClaimVerdict::Granted, {}}, toBytes(buf)};
}

std::string ClaimTable::end(const ClaimEnd &end, TimePoint now)
{
    const Digest digest = digestOf(end.key);
    const auto it = m_claims.find(digest);
    if (it == m_claims.end() || it->second.claimant != end.claimant || it->second.state != State::Running) {
        return {};
    }
    msgpack::sbuffer buf;
    Packer packer(buf);
    if (end.kind == ClaimEndKind::NotRun) {
        erase(digest);
        packer.pack_array(3);
        packer.pack(FormatVersion);
        packer.pack(static_cast<int>(RecordRelease));
        packer.pack(digest);
        return toBytes(buf);
    }
    const bool isAnswerStored
        = end.kind == ClaimEndKind::Answered && answerBytes(end.answer) <= m_settings.maxStoredAnswerBytes;
    const State state = end.kind == ClaimEndKind::Unknown ? State::Unknown
                        : isAnswerStored                  ? State::Done
                                                          : State::AnswerNotStored;
    setEnded(digest, it->second, state, now);
    it->second.answer = isAnswerStored ? end.answer : CallerResponse();
    packer.pack_array(5);
    packer.pack(FormatVersion);
    packer.pack(static_cast<int>(RecordEnd));
    packer.pack(digest);
    packer.pack(static_cast<int>(state));
    packAnswer(packer, it->second.answer);
    return toBytes(buf);
}

void ClaimTable::setEnded(const Digest &digest, Claim &claim, State state, TimePoint now)
{
    m_running -= claim.state == State::Running ? 1 : 0;
    claim.state = state;
    claim.endedAt = now;
    m_expiryQueue.emplace_back(now, digest);
}

void ClaimTable::erase(const Digest &digest)
{
    const auto it = m_claims.find(digest);
    if (it == m_claims.end()) {
        return;
    }
    m_running -= it->second.state == State::Running ? 1 : 0;
    m_claims.erase(it);
}

void ClaimTable::undoClaim(const ClaimRequest &request)
{
    const Digest digest = digestOf(request.key);
    const auto it = m_claims.find(digest);
    if (it != m_claims.end() && it->second.claimant == request.claimant && it->second.state == State::Running) {
        erase(digest);
    }
}

void ClaimTable::expire(TimePoint now)
{
    while (!m_expiryQueue.empty() && m_expiryQueue.front().first + m_settings.claimRetention <= now) {
        const auto it = m_claims.find(m_expiryQueue.front().second);
        const bool isSameClaim = it != m_claims.end() && it->second.endedAt == m_expiryQueue.front().first;
        if (isSameClaim && it->second.state != State::Running) {
            m_claims.erase(it);
        }
        m_expiryQueue.pop_front();
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Records and snapshots
// ---------------------------------------------------------------------------------------------------------------------

void ClaimTable::apply(std::string_view record, TimePoint now)
{
    const auto handle = msgpack::unpack(record.data(), record.size());
    const auto &fields = handle.get().via.array;
    const auto kind = fields.ptr[1].as<int>();
    const auto digest = fields.ptr[2].as<std::string>();
    if (kind == RecordRelease) {
        erase(digest);
        return;
    }
    Claim &claim = m_claims[digest];
    if (kind == RecordClaim) {
        claim = Claim(); // replaces an expired claim of this key
        claim.bodyDigest = fields.ptr[3].as<std::uint64_t>();
        claim.claimant = fields.ptr[4].as<std::uint64_t>();
        return;
    }
    setEnded(digest, claim, static_cast<State>(fields.ptr[3].as<int>()), now);
    claim.answer = unpackAnswer(fields.ptr[4]);
}

std::string ClaimTable::snapshot() const
{
    std::size_t remainingBytes = m_settings.maxClaimSnapshotBytes;
    remainingBytes -= std::min(remainingBytes, m_claims.size() * MaxSnapshotBytesPerClaim);
    std::unordered_map<Digest, bool> keepAnswer;
    for (auto it = m_expiryQueue.rbegin(); it != m_expiryQueue.rend();
         ++it) { // newest first: recent answers are the most likely to be requested
        const auto claim = m_claims.find(it->second);
        if (claim == m_claims.end() || claim->second.state != State::Done || keepAnswer.contains(it->second)) {
            continue;
        }
        const std::size_t size = answerBytes(claim->second.answer) + MaxSnapshotBytesPerClaim;
        keepAnswer[it->second] = size <= remainingBytes;
        remainingBytes -= std::min(remainingBytes, size);
    }
    msgpack::sbuffer buf;
    Packer packer(buf);
    packer.pack_array(2);
    packer.pack(FormatVersion);
    packer.pack_array(static_cast<std::uint32_t>(m_claims.size()));
    for (const auto &[digest, claim] : m_claims) {
        const bool hasAnswer = claim.state == State::Done && keepAnswer[digest];
        const State state = claim.state == State::Done && !hasAnswer ? State::AnswerNotStored : claim.state;
        packer.pack_array(hasAnswer ? 5 : 4);
        packer.pack(digest);
        packer.pack(static_cast<int>(state));
        packer.pack(claim.bodyDigest);
        packer.pack(claim.claimant);
        if (hasAnswer) {
            packAnswer(packer, claim.answer);
        }
    }
    return toBytes(buf);
}

void ClaimTable::restore(std::string_view snapshot, std::span<const std::string> records, TimePoint now)
{
    m_claims.clear();
    m_expiryQueue.clear();
    m_running = 0;
    if (!snapshot.empty()) {
        const auto handle = msgpack::unpack(snapshot.data(), snapshot.size());
        const auto &claims = handle.get().via.array.ptr[1].via.array;
        for (std::uint32_t i = 0; i < claims.size; ++i) {
            const auto &fields = claims.ptr[i].via.array;
            Claim claim;
            claim.state = static_cast<State>(fields.ptr[1].as<int>());
            claim.bodyDigest = fields.ptr[2].as<std::uint64_t>();
            claim.claimant = fields.ptr[3].as<std::uint64_t>();
            claim.answer = fields.size > 4 ? unpackAnswer(fields.ptr[4]) : CallerResponse();
            m_claims.emplace(fields.ptr[0].as<std::string>(), std::move(claim));
        }
    }
    for (const std::string &it : records) {
        apply(it, now);
    }
    // The outcome of requests that were running is not known here: their entry VM has failed, or its end() will be
    // ignored. The age of claims is not known either, so each is kept for a whole claimRetention from now.
    m_expiryQueue.clear();
    m_running = 0;
    for (auto &[digest, claim] : m_claims) {
        const bool wasRunning = claim.state == State::Running;
        claim.state = wasRunning ? State::Unknown : claim.state;
        claim.endedAt = now;
        m_expiryQueue.emplace_back(now, digest);
    }
}

std::size_t ClaimTable::size() const
{
    return m_claims.size();
}

std::size_t ClaimTable::running() const
{
    return m_running;
}

} // namespace QuetzalRock
