import gts from 'gts';

/** Imports that a layer may not have: the arrows between the folders. */
const forbid = (...patterns) => ({
  'no-restricted-imports': [
    'error',
    {patterns: patterns.map(group => ({group: [group]}))},
  ],
});

const config = [
  {ignores: ['build/**', 'dist/**', 'src/generated/**', 'node_modules/**']},
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {parserOptions: {project: './tsconfig.json'}},
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      'n/no-unpublished-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-process-exit': 'off',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': 'off',
      'no-restricted-syntax': [
        'error',
        {selector: 'ExportDefaultDeclaration', message: 'Use a named export.'},
      ],
    },
  },
  {
    files: ['scripts/**/*.mjs'],
    languageOptions: {
      globals: {
        clearTimeout: 'readonly',
        TextDecoder: 'readonly',
        process: 'readonly',
        console: 'readonly',
        fetch: 'readonly',
        setTimeout: 'readonly',
        URL: 'readonly',
      },
    },
    rules: {'n/no-unsupported-features/es-syntax': 'off'},
  },
  {
    // node:test hands back promises that the runner itself waits for.
    files: ['tests/**/*.ts'],
    rules: {'@typescript-eslint/no-floating-promises': 'off'},
  },
  {
    files: ['src/ports/**/*.ts', 'src/core/**/*.ts'],
    rules: forbid(
      '**/relay/**',
      '**/platform/**',
      '**/adapters/**',
      '**/coordination/**',
      '**/cli/**',
      '**/entry/**',
      '**/stand_ins/**',
      'node:http',
      'node:net',
      'node:dgram',
      'node:fs',
    ),
  },
  {
    files: ['src/coordination/**/*.ts'],
    rules: forbid(
      '**/platform/**',
      '**/adapters/**',
      '**/cli/**',
      '**/entry/**',
      '**/stand_ins/**',
      'node:http',
      'node:net',
      'node:dgram',
      'node:fs',
    ),
  },
  {
    // The users' platform is known in platform/ and in its stand-ins only.
    files: ['src/**/*.ts', 'bench/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        {selector: 'ExportDefaultDeclaration', message: 'Use a named export.'},
        {
          selector:
            'Literal[value=/^\\/corianderbend\\/|X-Kv-|X-Stage|X-Engine-Stamp|X-Deadline-Ms|X-Expect-Instance|X-Token-Count|X-Prompt-Prefix|Server-Limit|Server-Leaving|kv_handle|rows-tx|rows-get|rows-feed/i]',
          message: "Names of the users' platform belong into platform/.",
        },
        {
          selector: "Literal[value='X-Not-Run']",
          message: "Names of the users' platform belong into platform/.",
        },
      ],
    },
  },
  {
    files: ['src/relay/**/*.ts'],
    rules: forbid('**/cli/**', '**/stand_ins/**', '**/platform/**'),
  },
  {
    files: ['src/adapters/**/*.ts', 'src/entry/**/*.ts'],
    rules: forbid('**/cli/**', '**/stand_ins/**'),
  },
];

export default config;
