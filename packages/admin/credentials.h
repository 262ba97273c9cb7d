/**
 * Who may do what over the administration API.
 *
 * Index of this file
 *   Role          read, submit, operate
 *   Account       one operator or tenant; only a salted hash of its token is kept
 *   Credentials   all accounts; checks an Authorization header
 *
 * An account may have several hashes at once: that is how a token is changed without a gap.
 */
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace QuetzalRock {

enum class Role {
    Read = 0,    ///< look at everything of the own tenant
    Submit = 1,  ///< also create and cancel work of the own tenant
    Operate = 2, ///< also settings, handover, and every tenant
};

struct Account
{
    std::string name;
    std::string tenant; ///< empty: every tenant
    Role role = Role::Read;
    std::vector<std::string> tokenHashes; ///< as hashToken() gives them
};

/** 32 random bytes in hexadecimal. */
std::string newToken();

/** "sha256:SALT:DIGEST" of @p token with a fresh salt. */
std::string hashToken(std::string_view token);

/** True where @p hash is of @p token. Takes the same time for every wrong token. */
bool matchesToken(std::string_view hash, std::string_view token);

/** The role called @p name ("read", "submit", "operate"). Throws InvalidArgument. */
Role parseRole(std::string_view name);

class Credentials
{
public:
    /** With @p open, requests without a token have every right: for trying things out on one machine. */
    Credentials(std::vector<Account> accounts, bool open);

    /** The account of "Bearer TOKEN". Throws an Error with Unauthenticated. */
    const Account &authenticate(std::string_view authorization) const;

private:
    std::vector<Account> m_accounts;
    bool m_open;
    Account m_anyone{"anyone", "", Role::Operate, {}};
};

/** Throws an Error with PermissionDenied where @p account has less than @p role, or another tenant. */
void requireRole(const Account &account, Role role, std::string_view tenant = {});

} // namespace QuetzalRock
