/** The program `corianderbend`. */

import {version} from './version.js';

process.stdout.write(`corianderbend ${version}\n`);
