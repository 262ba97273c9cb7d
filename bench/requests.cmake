qr_bench(NAME benchrequests SOURCES requests.cpp LIBS qr_requests qr_standin)
qr_bench(NAME benchrequestspolicy SOURCES requestspolicy.cpp LIBS qr_requests)
