import gts from 'gts';
import checkFile from 'eslint-plugin-check-file';

export default [
  {
    ignores: [
      'target/**',
      '**/dist/**',
      '**/node_modules/**',
      '**/bin/*.js',
      '*.config.js',
    ],
  },
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: null,
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    plugins: {'check-file': checkFile},
    rules: {
      'check-file/filename-naming-convention': [
        'error',
        {'**/*.ts': 'SNAKE_CASE'},
      ],
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use named exports.',
        },
      ],
      'no-undef': 'off',
      '@typescript-eslint/consistent-type-imports': [
        'error',
        {fixStyle: 'separate-type-imports'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: 'variable',
          format: ['camelCase', 'UPPER_CASE'],
          leadingUnderscore: 'forbid',
        },
        {
          selector: ['function', 'parameter', 'method'],
          format: ['camelCase'],
          leadingUnderscore: 'forbid',
        },
        {selector: 'typeLike', format: ['PascalCase']},
      ],
    },
  },
];
