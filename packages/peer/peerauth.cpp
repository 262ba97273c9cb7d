#include <peer/jsonrpc.h>
#include <peer/peer.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cstdlib>
#include <mutex>
#include <unordered_set>
#include <utility>

namespace QuetzalRock {

namespace {

constexpr std::size_t NonceBytes = 12;

std::string toHex(const unsigned char *data, std::size_t n)
{
    static constexpr char Digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(2 * n);
    for (std::size_t i = 0; i < n; ++i) {
        text.push_back(Digits[data[i] >> 4]);
        text.push_back(Digits[data[i] & 15]);
    }
    return text;
}

std::string randomNonce()
{
    std::array<unsigned char, NonceBytes> buf{};
    if (RAND_bytes(buf.data(), static_cast<int>(buf.size())) != 1) {
        throw Error(ErrorCode::Failed, "cannot generate random bytes for a nonce");
    }
    return toHex(buf.data(), buf.size());
}

/** Appends @p field with its length, so that different sequences of fields never give the same text. */
void appendField(std::string &text, std::string_view field)
{
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

std::string computeMac(const PeerKey &key, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
    unsigned int n = 0;
    HMAC(EVP_sha256(),
         key.secret.data(),
         static_cast<int>(key.secret.size()),
         reinterpret_cast<const unsigned char *>(text.data()),
         text.size(),
         buf.data(),
         &n);
    return toHex(buf.data(), n);
}

bool areMacsEqual(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string callSignatureInput(std::string_view method, const detail::RpcRequest &request)
{
    std::string text;
    text.reserve(request.body.size() + 200);
    appendField(text, "call");
    appendField(text, method);
    appendField(text, request.sender);
    appendField(text, request.target);
    appendField(text, request.keyId);
    appendField(text, std::to_string(request.timeMs));
    appendField(text, request.nonce);
    appendField(text, request.body);
    return text;
}

std::string replySignatureInput(const detail::RpcRequest &request, int code, std::string_view body)
{
    std::string text;
    appendField(text, "reply");
    appendField(text, request.nonce);
    appendField(text, std::to_string(code));
    appendField(text, body);
    return text;
}

void checkKeys(const std::vector<PeerKey> &keys)
{
    if (keys.empty()) {
        throw InvalidArgument("peer keys", "at least one key is needed");
    }
    for (const PeerKey &it : keys) {
        if (it.id.empty() || it.secret.size() < MinSecretBytes) {
            throw InvalidArgument("peer keys",
                                  "key \"" + it.id + "\" needs an id and a secret of at least "
                                      + std::to_string(MinSecretBytes) + " bytes");
        }
    }
}

/** Remembers each nonce for one to two windows. Keeps two generations and drops the older one once per window. */
class NonceCache
{
public:
    enum class InsertResult {
        New,
        Seen,
        Full
    };

    InsertResult insert(const std::string &nonce, TimePoint now, Duration window, std::size_t limit)
    {
        if (now - m_rotatedAt >= 2 * window) {
            m_recent.clear();
        }
        if (now - m_rotatedAt >= window) {
            m_previous = std::exchange(m_recent, {});
            m_rotatedAt = now;
        }
        if (m_recent.contains(nonce) || m_previous.contains(nonce)) {
            return InsertResult::Seen;
        }
        if (m_recent.size() + m_previous.size() >= limit) {
            return InsertResult::Full;
        }
        m_recent.insert(nonce);
        return InsertResult::New;
    }

private:
    std::unordered_set<std::string> m_recent;
    std::unordered_set<std::string> m_previous;
    TimePoint m_rotatedAt;
};

} // namespace

class PeerAuth::Private
{
public:
    const PeerKey *findKey(std::string_view id) const
    {
        for (const PeerKey &it : settings.keys) {
            if (it.id == id) {
                return &it;
            }
        }
        return nullptr;
    }

    explicit Private(Clock &it)
        : clock(it)
    {
    }

    Clock &clock;
    mutable std::mutex mutex; ///< guards the members below
    PeerAuthSettings settings;
    PeerAuthCounters counters;
    NonceCache nonces;
};

PeerAuth::PeerAuth(const PeerAuthSettings &settings, Clock &clock)
    : m_d(std::make_unique<Private>(clock))
{
    checkKeys(settings.keys);
    m_d->settings = settings;
}

PeerAuth::~PeerAuth() = default;

void PeerAuth::setKeys(std::vector<PeerKey> keys)
{
    checkKeys(keys);
    std::lock_guard guard(m_d->mutex);
    m_d->settings.keys = std::move(keys);
}

PeerAuthCounters PeerAuth::counters() const
{
    std::lock_guard guard(m_d->mutex);
    return m_d->counters;
}

detail::RpcRequest PeerAuth::sign(std::string_view target, std::string_view method, std::string_view body) const
{
    detail::RpcRequest request;
    request.target = target;
    request.body = body;
    request.nonce = randomNonce();
    request.timeMs = m_d->clock.wallNow().count();
    std::lock_guard guard(m_d->mutex);
    request.sender = m_d->settings.self;
    request.keyId = m_d->settings.keys.front().id;
    request.mac = computeMac(m_d->settings.keys.front(), callSignatureInput(method, request));
    return request;
}

std::string PeerAuth::verify(std::string_view self, std::string_view method, const detail::RpcRequest &request)
{
    const std::string text = callSignatureInput(method, request);
    const WallTime sent(request.timeMs);
    std::lock_guard guard(m_d->mutex);
    const PeerKey *key = m_d->findKey(request.keyId);
    if (!key) {
        ++m_d->counters.unknownKey;
        return "unknown key";
    }
    if (!areMacsEqual(computeMac(*key, text), request.mac)) {
        ++m_d->counters.wrongSignature;
        return "wrong signature";
    }
    if (request.target != self) {
        ++m_d->counters.wrongTarget;
        return "call is addressed to " + request.target;
    }
    if (std::chrono::abs(m_d->clock.wallNow() - sent) > m_d->settings.maxSkew) {
        ++m_d->counters.stale;
        return "stale";
    }
    // A call passes the time check above from maxSkew before to maxSkew after its timestamp, so its nonce must be
    // remembered for 2 * maxSkew.
    switch (m_d->nonces.insert(request.nonce, m_d->clock.now(), 2 * m_d->settings.maxSkew, m_d->settings.maxNonces)) {
    case NonceCache::InsertResult::Seen:
        ++m_d->counters.repeated;
        return "repeated";
    case NonceCache::InsertResult::Full:
        ++m_d->counters.overloaded;
        return "too many calls";
    case NonceCache::InsertResult::New:
        break;
    }
    ++m_d->counters.accepted;
    return {};
}

std::string PeerAuth::signReply(const detail::RpcRequest &request, int code, std::string_view body) const
{
    const std::string text = replySignatureInput(request, code, body);
    std::lock_guard guard(m_d->mutex);
    const PeerKey *key = m_d->findKey(request.keyId);
    return key ? computeMac(*key, text) : std::string();
}

bool PeerAuth::verifyReply(const detail::RpcRequest &request,
                           int code,
                           std::string_view body,
                           std::string_view mac) const
{
    return areMacsEqual(signReply(request, code, body), mac);
}

} // namespace QuetzalRock
