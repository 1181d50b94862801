// roarr reads ROARR_LOG when it is loaded and writes nothing unless it is set, so import this module before roarr
process.env.ROARR_LOG ??= "true";
