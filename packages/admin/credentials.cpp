#include <admin/credentials.h>

#include <base/errors.h>

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>

namespace QuetzalRock {

namespace {

constexpr std::size_t TokenBytes = 32;
constexpr std::size_t SaltBytes = 16;
constexpr std::string_view Scheme = "sha256:";
constexpr std::string_view Bearer = "Bearer ";

std::string toHex(std::span<const unsigned char> bytes)
{
    constexpr char Digits[] = "0123456789abcdef";
    std::string text;
    for (const unsigned char it : bytes) {
        text += Digits[it >> 4];
        text += Digits[it & 15];
    }
    return text;
}

template<std::size_t Count>
std::string randomHex()
{
    std::array<unsigned char, Count> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw Error(ErrorCode::Failed, "cannot get random bytes from OpenSSL");
    }
    return toHex(bytes);
}

std::string digest(std::string_view salt, std::string_view token)
{
    const std::string text = std::string(salt) + ":" + std::string(token);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), hash.data());
    return toHex(hash);
}

} // namespace

std::string newToken()
{
    return randomHex<TokenBytes>();
}

std::string hashToken(std::string_view token)
{
    const std::string salt = randomHex<SaltBytes>();
    return std::string(Scheme) + salt + ":" + digest(salt, token);
}

bool matchesToken(std::string_view hash, std::string_view token)
{
    const std::size_t colon = hash.rfind(':');
    if (!hash.starts_with(Scheme) || colon < Scheme.size()) {
        return false;
    }
    const std::string_view salt = hash.substr(Scheme.size(), colon - Scheme.size());
    const std::string_view expected = hash.substr(colon + 1);
    const std::string actual = digest(salt, token);
    return expected.size() == actual.size() && CRYPTO_memcmp(expected.data(), actual.data(), actual.size()) == 0;
}

Role parseRole(std::string_view name)
{
    if (name == "read") {
        return Role::Read;
    }
    if (name == "submit") {
        return Role::Submit;
    }
    if (name == "operate") {
        return Role::Operate;
    }
    throw InvalidArgument("role", "want read, submit or operate");
}

Credentials::Credentials(std::vector<Account> accounts, bool allowsAnonymous)
    : m_accounts(std::move(accounts))
    , m_allowsAnonymous(allowsAnonymous)
{
}

const Account &Credentials::authenticate(std::string_view authorization) const
{
    if (authorization.empty() && m_allowsAnonymous) {
        return m_anonymous;
    }
    const std::string_view token = authorization.starts_with(Bearer) ? authorization.substr(Bearer.size()) : "";
    const Account *matched = nullptr;
    for (const Account &account : m_accounts) {
        for (const std::string &hash : account.tokenHashes) {
            // No early exit: the response time must not reveal which account matched.
            if (matchesToken(hash, token)) {
                matched = &account;
            }
        }
    }
    if (!matched || token.empty()) {
        throw Error(ErrorCode::Unauthenticated, "missing or invalid token in the Authorization header");
    }
    return *matched;
}

void requireRole(const Account &account, Role role, std::string_view tenant)
{
    if (account.role < role) {
        throw Error(ErrorCode::PermissionDenied, "account " + account.name + " lacks the required role");
    }
    const bool isOtherTenant = !tenant.empty() && !account.tenant.empty() && account.tenant != tenant;
    if (isOtherTenant) {
        throw Error(ErrorCode::PermissionDenied, "account " + account.name + " belongs to another tenant");
    }
}

} // namespace QuetzalRock
