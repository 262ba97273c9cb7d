/**
 * Authentication and authorisation for the administration API.
 *
 * Index of this file
 *   Role            read, submit, operate
 *   Account         one operator or tenant; only salted hashes of its tokens are stored
 *   Credentials     all accounts; authenticates an Authorization header
 *   requireRole()   checks the rights of an account
 *
 * An account may have several token hashes, so that a token can be rotated without interruption.
 */
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

enum class Role {
    Read = 0,    ///< view everything of the account's tenant
    Submit = 1,  ///< also create and cancel work of the account's tenant
    Operate = 2, ///< also change settings and the operator; view history and debug state
};

struct Account
{
    std::string name;
    std::string tenant; ///< empty: all tenants
    Role role = Role::Read;
    std::vector<std::string> tokenHashes; ///< results of hashToken()
};

/** Generates a token: 32 random bytes in hexadecimal. */
std::string newToken();

/** Returns "sha256:SALT:DIGEST" for @p token, with a new random salt. */
std::string hashToken(std::string_view token);

/** True if @p hash belongs to @p token. Compares in constant time. */
bool matchesToken(std::string_view hash, std::string_view token);

/** Parses "read", "submit" or "operate". Throws InvalidArgument. */
Role parseRole(std::string_view name);

class Credentials
{
public:
    /** If @p allowsAnonymous, requests without a token get all rights. Only for trials on a single host. */
    Credentials(std::vector<Account> accounts, bool allowsAnonymous);

    /** Returns the account for the header value "Bearer TOKEN". Throws Error with ErrorCode::Unauthenticated. */
    const Account &authenticate(std::string_view authorization) const;

private:
    std::vector<Account> m_accounts;
    bool m_allowsAnonymous;
    Account m_anonymous{"anyone", "", Role::Operate, {}};
};

/** Throws Error with ErrorCode::PermissionDenied if @p account has a lower role or belongs to another tenant. */
void requireRole(const Account &account, Role role, std::string_view tenant = {});

} // namespace QuetzalRock
