/** Text tables for the console. Columns are as wide as their widest cell and separated by two spaces. */
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace QuetzalRock {

class Table
{
public:
    explicit Table(std::vector<std::string> header);

    void addRow(std::vector<std::string> cells); ///< must have as many cells as the header
    void print(std::ostream &out) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace QuetzalRock
