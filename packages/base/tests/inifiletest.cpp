#include <base/inifile.h>

#include <gtest/gtest.h>

using namespace QuetzalRock;
using namespace std::chrono_literals;

namespace {

struct Sample
{
    std::int64_t threads = 4;
    Duration wait = 5ms;
    std::string address = "127.0.0.1:1";
    bool strict = false;
};

std::vector<SettingFault> parseSample(std::string_view text, Sample &sample)
{
    std::vector<SettingFault> faults;
    const IniFile file = parseIni("x.ini", text, faults);
    SettingsReader reader(file, faults);
    reader.beginSection("listen");
    reader.readInt("threads", sample.threads, 1, 64);
    reader.readMillis("wait_ms", sample.wait, 0, 1000);
    reader.readAddress("address", sample.address);
    reader.readBool("strict", sample.strict);
    reader.endSection();
    reader.endFile();
    return faults;
}

} // namespace

TEST(IniFile, fillsFieldsAndKeepsDefaults)
{
    Sample sample;
    EXPECT_TRUE(parseSample("# note\n[listen]\nthreads = 8\nstrict = true\n", sample).empty());
    EXPECT_EQ(sample.threads, 8);
    EXPECT_EQ(sample.wait, 5ms);
    EXPECT_TRUE(sample.strict);
}

TEST(IniFile, reportsEveryFaultWithItsLine)
{
    Sample sample;
    const auto faults
        = parseSample("[listen]\nthreads = 65\naddress = here\ncolour = red\nthreads = 1\n[lost]\na = 1\n", sample);
    ASSERT_EQ(faults.size(), 5U);
    EXPECT_EQ(faults[0].toString(),
              "x.ini:5: [listen] threads = 1: allowed: each key at most once per section (first used on line 2)");
    EXPECT_EQ(faults[1].toString(), "x.ini:2: [listen] threads = 65: allowed: a whole number from 1 to 64");
    EXPECT_EQ(faults[2].toString(), "x.ini:3: [listen] address = here: allowed: ip:port, such as 127.0.0.1:8080");
    EXPECT_EQ(faults[3].line, 4);
    EXPECT_EQ(faults[4].toString(), "x.ini:7: [lost] allowed: no such section");
    EXPECT_EQ(sample.threads, 4);
}

TEST(IniFile, reportsOverlongAndMalformedLines)
{
    Sample sample;
    const auto faults = parseSample("[listen]\n" + std::string(300, 'x') + "\nnothing here\n", sample);
    ASSERT_EQ(faults.size(), 2U);
    EXPECT_EQ(faults[0].line, 2);
    EXPECT_EQ(faults[1].line, 3);
}
