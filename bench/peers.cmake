qr_bench(NAME benchpeers SOURCES peers.cpp LIBS qr_membership)
