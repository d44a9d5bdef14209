// A budget of extra requests such as retries and hedges: each ordinary request deposits a fixed
// fraction of one extra request.
#pragma once

#include <algorithm>

namespace comfrey {

/// Limits extra requests to a fraction of the ordinary ones, with a bounded burst.
class Budget
{
public:
    /// `depositPerRequest`: extra requests that one ordinary request allows. `maxBalance`: largest
    /// balance, and the balance at the start.
    Budget(double depositPerRequest, double maxBalance)
        : m_depositPerRequest(depositPerRequest), m_maxBalance(maxBalance), m_balance(maxBalance)
    { }

    /// Counts an ordinary request.
    void deposit() { m_balance = std::min(m_maxBalance, m_balance + m_depositPerRequest); }

    /// Withdraws one extra request; returns false if the balance is below one.
    bool tryWithdraw()
    {
        if (m_balance < 1)
            return false;
        m_balance -= 1;
        return true;
    }

    /// Extra requests that are allowed now.
    double balance() const { return m_balance; }

private:
    double m_depositPerRequest;
    double m_maxBalance;
    double m_balance; ///< From 0 to m_maxBalance.
};

} // namespace comfrey
