/** How many second tries there may be: a share of what succeeds, so that retries cannot multiply an overload. */
#pragma once

#include <algorithm>

namespace QuetzalRock {

class RetryBudget
{
public:
    RetryBudget(double share, double burst)
        : m_share(share)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    void earn()
    {
        m_tokens = std::min(m_burst, m_tokens + m_share);
    }

    /** Takes the token of one retry or hedge; false where there is none. */
    bool take()
    {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

    double tokens() const
    {
        return m_tokens;
    }

private:
    double m_share; ///< tokens earned by a success
    double m_burst; ///< tokens at most
    double m_tokens;
};

} // namespace QuetzalRock
