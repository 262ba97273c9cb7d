qr_bench(NAME benchscheduler SOURCES scheduler.cpp LIBS qr_scheduler qr_placement qr_journal)
