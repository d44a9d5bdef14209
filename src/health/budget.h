// A budget of extra work: each ordinary request pays in a fixed part of one extra request.
#pragma once

#include <algorithm>

namespace comfrey {

class Budget
{
public:
    /// `part` of an extra request per ordinary one; at most `most` are saved up, which is also
    /// what there is at the start.
    Budget(double depositPerRequest, double maxBalance)
        : m_depositPerRequest(depositPerRequest), m_maxBalance(maxBalance), m_balance(maxBalance)
    { }

    void deposit() { m_balance = std::min(m_maxBalance, m_balance + m_depositPerRequest); }

    bool tryWithdraw()
    {
        if (m_balance < 1)
            return false;
        m_balance -= 1;
        return true;
    }

    double balance() const { return m_balance; }

private:
    double m_depositPerRequest;
    double m_maxBalance;
    double m_balance; ///< From 0 to m_most.
};

} // namespace comfrey
