/** Tables for people: columns as wide as their widest cell, two spaces between. */
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace QuetzalRock {

class Table
{
public:
    explicit Table(std::vector<std::string> header);

    void addRow(std::vector<std::string> cells); ///< as many cells as the header has
    void print(std::ostream &out) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace QuetzalRock
