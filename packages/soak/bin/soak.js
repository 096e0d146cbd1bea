import {runSoakCommand} from '../dist/lib/process/soak_main.js';

// Connections that callers keep open would keep the process alive.
process.exit(await runSoakCommand(process.argv.slice(2)));
