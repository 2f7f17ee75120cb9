/** Version of the program; `package.json` has the same. */
export const version = '0.1.0';
