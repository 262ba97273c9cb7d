#include <cli/table.h>

#include <algorithm>
#include <cassert>

namespace QuetzalRock {

Table::Table(std::vector<std::string> header)
{
    m_rows.push_back(std::move(header));
}

void Table::addRow(std::vector<std::string> cells)
{
    assert(cells.size() == m_rows.front().size());
    m_rows.push_back(std::move(cells));
}

void Table::print(std::ostream &out) const
{
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const auto &row : m_rows) {
        for (std::size_t n = 0; n < row.size(); ++n) {
            widths[n] = std::max(widths[n], row[n].size());
        }
    }
    for (const auto &row : m_rows) {
        std::string line;
        for (std::size_t n = 0; n < row.size(); ++n) {
            line += row[n];
            if (n + 1 < row.size()) {
                line.append(widths[n] - row[n].size() + 2, ' ');
            }
        }
        out << line << "\n";
    }
}

} // namespace QuetzalRock
