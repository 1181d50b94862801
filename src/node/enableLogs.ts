// roarr looks at the environment when it is loaded and writes nothing otherwise, so this module comes before it
process.env.ROARR_LOG ??= "true";
