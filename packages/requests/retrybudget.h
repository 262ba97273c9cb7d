/** Token bucket that limits retries and hedges to a share of the successes, so that they cannot amplify an overload. */
#pragma once

#include <algorithm>

namespace QuetzalRock {

class RetryBudget
{
public:
    RetryBudget(double tokensPerSuccess, double maxTokens)
        : m_tokensPerSuccess(tokensPerSuccess)
        , m_maxTokens(maxTokens)
        , m_tokens(maxTokens)
    {
    }

    void deposit()
    {
        m_tokens = std::min(m_maxTokens, m_tokens + m_tokensPerSuccess);
    }

    /** Withdraws the token for one retry or hedge; false if the budget is exhausted. */
    bool tryWithdraw()
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
    double m_tokensPerSuccess; ///< added by each success
    double m_maxTokens;        ///< upper bound of m_tokens
    double m_tokens;
};

} // namespace QuetzalRock
