qr_bench(NAME benchjournal SOURCES journal.cpp LIBS qr_journal)
