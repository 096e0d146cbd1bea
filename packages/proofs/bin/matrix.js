import {runMatrixCommand} from '../dist/lib/process/matrix_main.js';

process.exitCode = await runMatrixCommand(process.argv.slice(2));
